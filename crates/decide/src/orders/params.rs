//! Settings of the controller.

use std::time;

/// Holds the times that keep a former holder's orders from taking effect after a new holder's.
///
/// An engine that does not check fencing tokens is protected by time alone. Four guards add up: the
/// holder's own clock ends its lease `guard` early; it sends nothing that could still be on its way
/// at the lease's end (`settle`); a new holder waits `margin` before its first order; and one order
/// at a time is in flight at an engine. A holder that is paused between its last look at the clock
/// and the write does no harm for pauses up to `guard + margin`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Params {
    /// How long a lease lasts without renewal; more than `guard + settle`.
    pub ttl: time::Duration,
    /// How long before the lease's end its holder stops, for clocks that run unequally.
    pub guard: time::Duration,
    /// How long after it was written an order can still take effect; longer than any order takes.
    pub settle: time::Duration,
    /// How long a new holder waits before its first order to an engine that does not check.
    pub margin: time::Duration,
    /// How long to wait after a failure before trying again.
    pub retry: time::Duration,
    /// How many orders may be in flight at one engine; more than 1 lets orders overtake.
    pub per_engine: usize,
    /// How many orders may be in flight in all; at least 1.
    pub in_flight: usize,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(15),
            guard: time::Duration::from_secs(2),
            settle: time::Duration::from_secs(5),
            margin: time::Duration::from_secs(5),
            retry: time::Duration::from_secs(1),
            per_engine: 1,
            in_flight: 64,
        }
    }
}
