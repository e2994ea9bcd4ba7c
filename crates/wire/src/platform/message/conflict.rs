//! The answer to a write whose condition did not hold.

use crate::platform::message;

/// The answer to a write whose condition did not hold and which changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Conflict {
    /// The current entry of the key; `None` if the key does not exist.
    pub current: Option<message::Entry>,
}
