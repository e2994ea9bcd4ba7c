//! The coordinators' reports on permitted requests.

use trefoildyke_types::id;

use crate::schedule;

/// A report on the progress of a request.
///
/// Reports may arrive twice, late or never; a report on an unknown request has no effect.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Report {
    /// The request was dispatched under its permit.
    Started {
        /// The request.
        key: id::RequestKey,
    },
    /// The first token of the answer arrived.
    FirstToken {
        /// The request.
        key: id::RequestKey,
    },
    /// More tokens of the answer arrived.
    Progress {
        /// The request.
        key: id::RequestKey,
        /// The total number of tokens so far.
        tokens: u32,
    },
    /// The request left the endpoint.
    Finished {
        /// The request.
        key: id::RequestKey,
        /// The total number of tokens of the answer.
        tokens: u32,
        /// How it ended.
        outcome: schedule::Outcome,
    },
    /// The permit was not used and will not be used; has no effect on a request that was dispatched.
    HandBack {
        /// The request.
        key: id::RequestKey,
    },
    /// The coordinator no longer needs the request, whether it is waiting or permitted; has no effect on a
    /// request that was dispatched.
    Cancel {
        /// The request.
        key: id::RequestKey,
    },
}

impl Report {
    /// Returns the key of the request that the report is about.
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
