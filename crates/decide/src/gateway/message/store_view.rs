//! What daemons tell each other of the store.

/// Says what a daemon knows of the store, and how old that is. All ages are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreView {
    /// The version of the configuration in force.
    pub version: u64,
    /// How long ago it was confirmed.
    pub confirmed: u32,
    /// Stands for the list of endpoints: equal lists have equal marks.
    pub roster: u64,
    /// How long ago the list was read.
    pub read: u32,
    /// For how long the list's source has answered without a break.
    pub steady: u32,
}
