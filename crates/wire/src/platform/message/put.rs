//! The request to write one key.

use crate::platform::message;

/// A request to write one key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The new value; at most [`message::MAX_VALUE`] bytes.
    pub value: String,
    /// The revision that the key must have; 0 if it must not exist, `None` for no condition.
    pub expect: Option<u64>,
    /// The lease of the key: the key is deleted when the lease ends.
    #[serde(default)]
    pub lease: Option<message::LeaseNumber>,
}
