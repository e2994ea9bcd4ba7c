//! Limits of the coordinator.

use std::time;

use trefoildyke_decide::coordinate;

/// The limits of the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Coordinate {
    /// The maximum number of requests in progress; from 1 to 1,000,000. Further ones are refused, as not run
    /// or, if they may be retries, with an unknown outcome.
    pub requests: usize,
    /// How long a finished answer can be read, in milliseconds.
    pub keep_ms: u64,
    /// The maximum total size of the finished answers that are kept, in bytes; the oldest are dropped first.
    pub keep_bytes: usize,
    /// How long a waiting request continues after its caller has disconnected, in milliseconds; from 1,000
    /// to 600,000.
    ///
    /// Must be longer than the time between two calls of a peer that follows the answer.
    pub linger_ms: u64,
    /// How long the daemon can be without contact to the key-value service and to all peers before it
    /// refuses new work, in milliseconds; from 100 to 600,000.
    pub isolation_ms: u64,
    /// Which requests are dispatched without a record while the key-value service is down.
    pub outage: coordinate::OutagePolicy,
    /// How long a graceful stop waits for requests in progress, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Coordinate {
    fn default() -> Self {
        Self {
            requests: 20_000,
            keep_ms: 60_000,
            keep_bytes: 32 << 20,
            linger_ms: 3_000,
            isolation_ms: 3_000,
            outage: coordinate::OutagePolicy::default(),
            drain_ms: 600_000,
        }
    }
}

impl Coordinate {
    /// Returns how long a finished answer can be read.
    pub const fn keep(&self) -> time::Duration {
        time::Duration::from_millis(self.keep_ms)
    }

    /// Returns how long a waiting request continues after its caller has disconnected.
    pub const fn linger(&self) -> time::Duration {
        time::Duration::from_millis(self.linger_ms)
    }

    /// Returns how long the daemon can be isolated before it refuses new work.
    pub const fn isolation(&self) -> time::Duration {
        time::Duration::from_millis(self.isolation_ms)
    }

    /// Returns how long a graceful stop waits for requests in progress.
    pub const fn drain(&self) -> time::Duration {
        time::Duration::from_millis(self.drain_ms)
    }
}
