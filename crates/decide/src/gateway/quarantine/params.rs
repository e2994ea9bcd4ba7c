//! The parameters of the quarantine.

use std::time;

/// The parameters for detecting requests that crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineParams {
    /// The number of endpoints that may crash during a request before it is quarantined; 3.
    ///
    /// Two endpoints may well crash during a harmless request. It is sent again after the first
    /// crash, and at the second endpoint it may run beside the request that caused the first crash.
    pub min_crashes: usize,
    /// How long a crash counts; 10 minutes.
    ///
    /// This is also the longest time for which a request is quarantined, so that a repaired
    /// endpoint gets it again.
    pub crash_ttl: time::Duration,
    /// The time within which a crashed endpoint disappears from the list of endpoints, if the
    /// source of the list has answered throughout; 8 s.
    ///
    /// It covers three heartbeats and the age of the oldest list that may be read.
    pub entry_ttl: time::Duration,
}

impl Default for QuarantineParams {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            crash_ttl: time::Duration::from_secs(600),
            entry_ttl: time::Duration::from_secs(8),
        }
    }
}
