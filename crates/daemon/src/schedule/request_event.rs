//! Events that coordinators report on permitted requests.

use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request};

/// An event of a permitted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEvent {
    /// The request was dispatched.
    Started {
        /// What was asked for.
        ask: request::Ask,
        /// The permit that was used.
        permit: request::Permit,
    },
    /// The request was dispatched by another daemon, and this one now follows it at the endpoint.
    TakenOver {
        /// What was asked for.
        ask: request::Ask,
        /// The endpoint that runs the request.
        endpoint: id::EndpointName,
    },
    /// More tokens of the answer have arrived.
    Tokens {
        /// The request.
        key: id::RequestKey,
        /// The number of tokens so far.
        tokens: u32,
    },
    /// The request has ended at the endpoint.
    Finished {
        /// The request.
        key: id::RequestKey,
        /// The number of tokens of the answer.
        tokens: u32,
        /// How the request ended.
        outcome: schedule::Outcome,
    },
    /// The permit was not used and will not be.
    HandBack {
        /// The request.
        key: id::RequestKey,
    },
}

/// An entry of a batch of reports to a scheduler.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A report on a request that the scheduler permitted.
    Report(schedule::Report),
    /// A request that another scheduler permitted.
    Adopt(schedule::TakenOver),
}

impl From<Entry> for schedule::Input {
    fn from(entry: Entry) -> Self {
        match entry {
            Entry::Report(report) => Self::Report(report),
            Entry::Adopt(taken_over) => Self::TakeOver(taken_over),
        }
    }
}
