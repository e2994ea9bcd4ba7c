//! The request to watch the keys with a prefix and its answer.

/// A request for the changes of keys with a prefix after a revision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// The prefix of the keys.
    pub prefix: String,
    /// The last revision that the watcher has seen.
    pub after: u64,
    /// The longest time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchEvent {
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<String>,
    /// The change's revision.
    pub revision: u64,
}

/// The answer to [`Watch`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchReply {
    /// The changes, in order; empty if there were none within `wait_ms`.
    pub events: Vec<WatchEvent>,
    /// The revision up to which the watcher now has all changes.
    pub revision: u64,
}
