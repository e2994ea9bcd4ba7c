//! Limits and bounds of the coordinator.

use std::time;

use trefoildyke_decide::coordinate;

/// Limits the coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Coordinate {
    /// The most requests in progress at once; at least 1. More are refused as not run.
    pub requests: usize,
    /// How long a finished answer stays readable, in milliseconds.
    pub keep_ms: u64,
    /// The most bytes of finished answers that are kept; the oldest go first.
    pub keep_bytes: usize,
    /// How long a request that waits goes on after its caller has gone, in milliseconds.
    ///
    /// Longer than the gap between two calls of a peer that follows the answer.
    pub linger_ms: u64,
    /// How long the daemon may reach neither the key-value service nor any peer before it refuses
    /// new work, in milliseconds; at least 100.
    pub isolation_ms: u64,
    /// Which requests go on while the key-value service is down.
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
    /// Returns how long a finished answer stays readable.
    pub const fn keep(&self) -> time::Duration {
        time::Duration::from_millis(self.keep_ms)
    }

    /// Returns how long a request that waits goes on after its caller has gone.
    pub const fn linger(&self) -> time::Duration {
        time::Duration::from_millis(self.linger_ms)
    }

    /// Returns how long the daemon may be cut off before it refuses new work.
    pub const fn isolation(&self) -> time::Duration {
        time::Duration::from_millis(self.isolation_ms)
    }

    /// Returns how long a graceful stop waits for requests in progress.
    pub const fn drain(&self) -> time::Duration {
        time::Duration::from_millis(self.drain_ms)
    }
}
