//! A daemon's view of the store.

use std::time;

/// A daemon's knowledge of the store and its age. All times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreView {
    /// The version of the configuration in force.
    pub version: u64,
    /// The time since the configuration was confirmed.
    pub confirmed: u32,
    /// The hash of the list of endpoints; equal lists have equal hashes.
    pub roster: u64,
    /// The time since the list was read.
    pub read: u32,
    /// The time since the query was sent that returned the list, if it is known.
    pub queried: Option<u32>,
    /// How long the source of the list has answered without a failure.
    pub steady: u32,
}

impl StoreView {
    /// Returns the time since the configuration was confirmed.
    pub const fn confirmed_age(&self) -> time::Duration {
        time::Duration::from_millis(self.confirmed as u64)
    }
}
