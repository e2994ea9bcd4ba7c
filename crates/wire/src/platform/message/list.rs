//! The request to list the keys with a prefix and its answer.

use crate::platform::message;

/// A request to list keys with a prefix.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// The prefix of the keys.
    pub prefix: String,
    /// Only keys strictly after this one are listed; empty for all.
    #[serde(default)]
    pub after: String,
    /// The maximum number of entries in the answer; at least 1.
    pub limit: usize,
}

/// The answer to [`List`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListReply {
    /// The entries, sorted by key.
    pub entries: Vec<message::Entry>,
    /// Whether more keys follow the last entry.
    pub more: bool,
    /// The service's revision when it answered.
    pub revision: u64,
}
