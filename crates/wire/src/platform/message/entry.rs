//! One entry of the key-value service.

use crate::platform::message;

/// One key of the key-value service with its value.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; at most [`message::MAX_VALUE`] bytes.
    pub value: String,
    /// The revision at which the value was written; at least 1.
    pub revision: u64,
    /// The lease of the key: the key is deleted when the lease ends.
    pub lease: Option<message::LeaseNumber>,
}
