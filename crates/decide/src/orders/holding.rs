//! The lease as its holder sees it.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::orders;

/// Describes a lease that this daemon took.
///
/// The key-value service counts the time to live from when it takes a call, which is not before the
/// call began. So the lease lasts at least until `begun` plus its time to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Holding {
    /// The fencing token.
    pub token: u64,
    /// When this daemon learned that it has the lease.
    pub took: Timestamp,
    /// When the last call began that granted or renewed the lease; it never goes back.
    pub begun: Timestamp,
}

impl Holding {
    /// Returns from when on the holder must no longer count on the lease.
    pub fn end(&self, params: &orders::Params) -> Timestamp {
        self.begun + params.ttl.saturating_sub(params.guard)
    }

    /// Returns from when on an order must no longer be written.
    pub fn stop(&self, params: &orders::Params, checks_fencing: bool) -> Timestamp {
        let settle = if checks_fencing { time::Duration::ZERO } else { params.settle };
        self.begun + params.ttl.saturating_sub(params.guard + settle)
    }

    /// Returns when the first order may be written.
    pub fn start(&self, params: &orders::Params, checks_fencing: bool) -> Timestamp {
        let margin = if checks_fencing { time::Duration::ZERO } else { params.margin };
        self.took + margin
    }

    /// Returns whether an order may be written now.
    pub fn may_send(&self, now: Timestamp, params: &orders::Params, checks_fencing: bool) -> bool {
        now >= self.start(params, checks_fencing) && now < self.stop(params, checks_fencing)
    }
}
