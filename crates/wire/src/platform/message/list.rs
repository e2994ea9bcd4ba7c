//! Reading the keys below a prefix.

use crate::platform::message;

/// Asks for keys below a prefix.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// What the keys start with.
    pub prefix: String,
    /// Only keys strictly after this one; empty for all.
    #[serde(default)]
    pub after: String,
    /// The most entries to answer; at least 1.
    pub limit: usize,
}

/// Answers [`List`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListReply {
    /// The entries, sorted by key.
    pub entries: Vec<message::Entry>,
    /// Whether there are more after the last entry.
    pub more: bool,
    /// The service's revision when it answered.
    pub revision: u64,
}
