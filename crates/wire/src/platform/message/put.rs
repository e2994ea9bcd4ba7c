//! Writing one key.

use crate::platform::message;

/// Writes one key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The new value; at most [`message::MAX_VALUE`] bytes.
    pub value: String,
    /// What must hold: `None` for nothing, 0 that the key does not exist, else its revision.
    pub expect: Option<u64>,
    /// The lease with which the key ends.
    #[serde(default)]
    pub lease: Option<message::LeaseNumber>,
}
