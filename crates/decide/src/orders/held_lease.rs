//! The lease from the point of view of its holder.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::orders;

/// A lease that this daemon holds.
///
/// The key-value service counts the time to live from when it handles a call, which is never before the
/// call started. The lease therefore lasts at least until `call_start` plus its time to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// The fencing token.
    pub token: u64,
    /// When this daemon learned that it holds the lease.
    pub taken_at: Timestamp,
    /// When the latest call started that granted or renewed the lease; this time never decreases.
    pub call_start: Timestamp,
}

impl HeldLease {
    /// Returns the time from which on the holder must no longer rely on the lease.
    pub fn expiry(&self, params: &orders::Params) -> Timestamp {
        self.call_start + params.ttl.saturating_sub(params.clock_margin)
    }

    /// Returns the time from which on an order must no longer be written.
    pub fn send_deadline(&self, params: &orders::Params, checks_fencing: bool) -> Timestamp {
        let settle_time = if checks_fencing { time::Duration::ZERO } else { params.settle_time };
        self.call_start + params.ttl.saturating_sub(params.clock_margin + settle_time)
    }

    /// Returns the time from which on orders may be written.
    pub fn send_start(&self, params: &orders::Params, checks_fencing: bool) -> Timestamp {
        let takeover_delay =
            if checks_fencing { time::Duration::ZERO } else { params.takeover_delay };
        self.taken_at + takeover_delay
    }

    /// Returns whether an order may be written at time `now`.
    pub fn may_send(&self, now: Timestamp, params: &orders::Params, checks_fencing: bool) -> bool {
        now >= self.send_start(params, checks_fencing)
            && now < self.send_deadline(params, checks_fencing)
    }
}
