//! The request to read one key and its answer.

use crate::platform::message;

/// A request to read one key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Get {
    /// The key.
    pub key: String,
}

/// The answer to [`Get`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GetReply {
    /// The entry; `None` if the key does not exist.
    pub entry: Option<message::Entry>,
    /// The service's revision when it answered.
    pub revision: u64,
}
