//! The bounds of the model of orders.

use std::time;

use trefoildyke_decide::orders;

/// The size of the model; times are in steps of the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The time at which the model ends.
    pub end: u64,
    /// Whether the engine rejects fencing tokens older than the newest one it has seen.
    pub checks_fencing: bool,
    /// The longest pause between a daemon's last check of the clock and its write.
    pub pause: u64,
    /// Whether a daemon checks the send deadline against the clock once more before it writes.
    pub rechecks_clock: bool,
    /// How long a lease lasts without renewal.
    pub ttl: u64,
    /// How long before the end of the lease its holder stops sending.
    pub clock_margin: u64,
    /// How long the daemons assume that an order can still take effect.
    pub settle_time: u64,
    /// How long a new lease holder waits before its first order.
    pub takeover_delay: u64,
}

/// How long an order can actually take effect after it was written.
pub(super) const SETTLE_TIME: u64 = 1;

impl Bounds {
    /// Creates bounds with every guard enabled and an engine that ignores fencing tokens.
    pub const fn new() -> Self {
        Self {
            end: 6,
            checks_fencing: false,
            pause: 2,
            rechecks_clock: true,
            ttl: 4,
            clock_margin: 1,
            settle_time: SETTLE_TIME,
            takeover_delay: 1,
        }
    }

    pub(super) const fn params(&self) -> orders::Params {
        orders::Params {
            ttl: time::Duration::from_secs(self.ttl),
            clock_margin: time::Duration::from_secs(self.clock_margin),
            settle_time: time::Duration::from_secs(self.settle_time),
            takeover_delay: time::Duration::from_secs(self.takeover_delay),
            retry: time::Duration::from_secs(1),
            per_engine: 1,
            in_flight: 1,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self::new()
    }
}
