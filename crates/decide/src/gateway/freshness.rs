//! The age of the last confirmation of the configuration.

use std::time;

use trefoildyke_types::time::Timestamp;

/// Decides whether requests may still be admitted by the version in force at this daemon.
///
/// A revoked key must stop working even at a daemon that cannot read its configuration, so the version counts
/// as confirmed only until the last confirmation reaches a fixed age. Times are from a clock that
/// continues while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    max_age: time::Duration,
    confirmed: Option<Timestamp>,
}

impl Freshness {
    /// Creates the state of a daemon that has no confirmation yet; one is valid for `max_age`.
    pub const fn new(max_age: time::Duration) -> Self {
        Self { max_age, confirmed: None }
    }

    /// Records that the configuration was in force at `as_of`, the time at which the query that
    /// confirmed it was sent.
    pub fn confirm(&mut self, as_of: Timestamp) {
        self.confirmed = self.confirmed.max(Some(as_of));
    }

    /// Returns the age of the last confirmation, or `None` if there was none.
    pub fn age(&self, now: Timestamp) -> Option<time::Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether the version in force here is confirmed at `now`.
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }

    /// Returns whether the age of the last confirmation is below `limit`.
    pub fn is_within(&self, now: Timestamp, limit: time::Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
