//! What coordinators tell of requests that were permitted.

use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request};

/// Tells how a permitted request goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// It was dispatched.
    Started {
        /// What was asked for.
        ask: request::Ask,
        /// The permit that was used.
        permit: request::Permit,
    },
    /// It was dispatched by another daemon, and this one now follows it at the endpoint.
    TakenOver {
        /// What was asked for.
        ask: request::Ask,
        /// Where it runs.
        endpoint: id::EndpointName,
    },
    /// So many tokens have come.
    Tokens {
        /// The request.
        key: id::RequestKey,
        /// All tokens so far.
        tokens: u32,
    },
    /// It left the endpoint.
    Finished {
        /// The request.
        key: id::RequestKey,
        /// All tokens of the answer.
        tokens: u32,
        /// How it ended.
        outcome: schedule::Outcome,
    },
    /// The permit was not used and will not be.
    HandBack {
        /// The request.
        key: id::RequestKey,
    },
}

/// One entry of a batch that goes to a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A report on a request that the scheduler permitted.
    Report(schedule::Report),
    /// A request that another scheduler permitted.
    Adopt(schedule::Adopted),
}

impl From<Entry> for schedule::Input {
    fn from(entry: Entry) -> Self {
        match entry {
            Entry::Report(report) => Self::Report(report),
            Entry::Adopt(adopted) => Self::Adopt(adopted),
        }
    }
}
