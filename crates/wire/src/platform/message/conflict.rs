//! The answer to a write whose expectation did not hold.

use crate::platform::message;

/// Answers a write whose expectation did not hold, and which changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Conflict {
    /// What stands instead; `None` if the key does not exist.
    pub current: Option<message::Entry>,
}
