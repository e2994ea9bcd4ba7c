//! What coordinators tell the scheduler about permitted requests.

use trefoildyke_types::id;

use crate::schedule;

/// Reports one step in a request's life after its permit.
///
/// Reports may come twice, late or never; a report about an unknown request changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Report {
    /// The request was dispatched under its permit.
    Started {
        /// The request.
        key: id::RequestKey,
    },
    /// The first token of the answer came.
    FirstToken {
        /// The request.
        key: id::RequestKey,
    },
    /// More tokens of the answer came.
    Progress {
        /// The request.
        key: id::RequestKey,
        /// All tokens so far.
        tokens: u32,
    },
    /// The request left the endpoint.
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
    /// The coordinator no longer wants the request, waiting or not.
    Cancel {
        /// The request.
        key: id::RequestKey,
    },
}

impl Report {
    /// Returns the request that the report is about.
    pub const fn key(&self) -> &id::RequestKey {
        match self {
            Self::Started { key }
            | Self::FirstToken { key }
            | Self::Progress { key, .. }
            | Self::Finished { key, .. }
            | Self::HandBack { key }
            | Self::Cancel { key } => key,
        }
    }
}
