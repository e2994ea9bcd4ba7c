//! One key with its value.

use crate::platform::message;

/// Holds one key of the key-value service with its value.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; at most [`message::MAX_VALUE`] bytes.
    pub value: String,
    /// The revision that wrote the value; at least 1.
    pub revision: u64,
    /// The lease with which the key ends.
    pub lease: Option<message::LeaseNumber>,
}
