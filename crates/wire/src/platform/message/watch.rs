//! Watching the keys below a prefix.

/// Asks for the changes below a prefix after a revision.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// What the keys start with.
    pub prefix: String,
    /// The last revision that the watcher has seen.
    pub after: u64,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Describes one change.
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

/// Answers [`Watch`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchReply {
    /// The changes in order; empty if none came in time.
    pub events: Vec<WatchEvent>,
    /// The revision up to which the watcher has now seen all changes.
    pub revision: u64,
}
