//! What the model of orders includes.

use std::time;

use trefoildyke_decide::orders;

/// States the size of the model; times are in steps of the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// When the model ends.
    pub end: u64,
    /// Whether the engine refuses old fencing tokens.
    pub checks_fencing: bool,
    /// The longest pause between a daemon's last look at the clock and the write.
    pub pause: u64,
    /// Whether a daemon looks at the clock once more before it writes.
    pub looks: bool,
    /// How long a lease lasts without renewal.
    pub ttl: u64,
    /// How long before the lease's end its holder stops.
    pub clock_margin: u64,
    /// How long an order can still take effect, as the daemons reckon.
    pub settle_time: u64,
    /// How long a new holder waits before its first order.
    pub takeover_delay: u64,
}

/// How long an order really can still take effect after it was written.
pub(super) const SETTLE: u64 = 1;

impl Bounds {
    /// Creates bounds with every guard and an engine that ignores fencing tokens.
    pub const fn new() -> Self {
        Self {
            end: 6,
            checks_fencing: false,
            pause: 2,
            looks: true,
            ttl: 4,
            clock_margin: 1,
            settle_time: SETTLE,
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
