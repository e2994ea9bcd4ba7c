//! The parameters of the controller.

use std::time;

/// The times and limits that prevent a former holder's orders from taking effect after a new holder's.
///
/// An engine that does not check fencing tokens is protected by time alone, by four guards together: the
/// holder treats its lease as ended `clock_margin` early; it sends no order that could still be in
/// transit at the end of the lease (`settle_time`); a new holder waits `takeover_delay` before its first
/// order; and only one order at a time is in flight at an engine. A holder that is paused between its
/// last check of the clock and the write causes no fault as long as the pause is not longer than
/// `clock_margin + takeover_delay`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Params {
    /// The time to live of a lease without renewal; more than `clock_margin + settle_time`.
    pub ttl: time::Duration,
    /// How long before the end of the lease its holder stops, to allow for clocks that run at different
    /// rates.
    pub clock_margin: time::Duration,
    /// How long after it was written an order can still take effect; longer than any order takes to arrive
    /// and be carried out.
    pub settle_time: time::Duration,
    /// How long a new holder waits before its first order to an engine that does not check fencing tokens.
    pub takeover_delay: time::Duration,
    /// The delay before a retry after a failure.
    pub retry: time::Duration,
    /// The maximum number of orders in flight at one engine; with more than 1, orders can overtake each
    /// other.
    pub per_engine: usize,
    /// The maximum number of orders in flight at all engines together; at least 1.
    pub in_flight: usize,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            ttl: time::Duration::from_secs(15),
            clock_margin: time::Duration::from_secs(2),
            settle_time: time::Duration::from_secs(5),
            takeover_delay: time::Duration::from_secs(5),
            retry: time::Duration::from_secs(1),
            per_engine: 1,
            in_flight: 64,
        }
    }
}
