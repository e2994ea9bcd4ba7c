//! How long a daemon has known of a newer version of the configuration than its own.

use std::time;

use trefoildyke_types::time::Timestamp;

/// Decides whether requests may still be handled by the version in force at this daemon.
///
/// A daemon that cannot get a version that it knows to be in force elsewhere must stop applying the older
/// one, whether a request needs an API key or not.
#[derive(Clone, Copy, Debug)]
pub struct VersionLag {
    limit: time::Duration,
    /// The newest known version, and when this daemon first knew of a version newer than its own; `None`
    /// while it has the newest.
    newest: Option<(u64, Timestamp)>,
}

impl VersionLag {
    /// Creates the state of a daemon that may apply an older version for `limit` after it has learned of a
    /// newer one.
    pub const fn new(limit: time::Duration) -> Self {
        Self { limit, newest: None }
    }

    /// Records that another daemon has `version`, while this one has `own`.
    pub fn note_version(&mut self, now: Timestamp, own: u64, version: u64) {
        if version > own {
            let (newest, since) = self.newest.unwrap_or((version, now));
            self.newest = Some((newest.max(version), since));
        }
    }

    /// Records that this daemon has put `version` in force.
    pub fn note_applied(&mut self, version: u64) {
        self.newest = self.newest.filter(|(newest, _)| *newest > version);
    }

    /// Records that the source itself had no newer version at `as_of` than this daemon has.
    pub fn note_confirmed(&mut self, as_of: Timestamp) {
        self.newest = self.newest.filter(|(_, since)| *since > as_of);
    }

    /// Returns whether this daemon has lacked a newer version for too long.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.newest.is_some_and(|(_, since)| now.since(since) >= self.limit)
    }
}
