//! How old the proof is that the configuration still holds.

use std::time;

use trefoildyke_types::time::Timestamp;

/// Tells whether keys may still be believed.
///
/// A key that was taken away must stop working even at a daemon that cannot read its
/// configuration, so belief ends at a fixed age of the last confirmation. Times are from a clock
/// that goes on while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    horizon: time::Duration,
    confirmed: Option<Timestamp>,
}

impl Freshness {
    /// Creates the state of a daemon that has confirmed nothing; belief ends after `horizon`.
    pub const fn new(horizon: time::Duration) -> Self {
        Self { horizon, confirmed: None }
    }

    /// Notes that the configuration was in force at `as_of`, the time at which the query that
    /// confirmed it was sent.
    pub fn confirm(&mut self, as_of: Timestamp) {
        self.confirmed = self.confirmed.max(Some(as_of));
    }

    /// Returns the age of the last confirmation.
    pub fn age(&self, now: Timestamp) -> Option<time::Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Says whether keys are believed at `now`.
    pub fn is_fresh(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.horizon)
    }

    /// Says whether the age is below `limit`.
    pub fn is_within(&self, now: Timestamp, limit: time::Duration) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}
