//! What the controller wants done.

use trefoildyke_types::time;

use crate::orders;

/// Asks the caller of the controller for one action.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Take the lease, with a time to live of [`orders::Params::ttl`].
    Acquire,
    /// Renew the lease.
    Renew,
    /// Give the lease up; there is no answer.
    Release,
    /// Send an order once.
    Send {
        /// The order.
        order: orders::Order,
        /// The fencing token to send with it.
        fence: u64,
        /// Look at the clock once more as the last thing before writing, and do not write from
        /// this time on.
        stop: time::Timestamp,
    },
    /// Record how an order ended.
    Store {
        /// The order.
        key: orders::OrderKey,
        /// How it ended.
        outcome: orders::Outcome,
        /// The fencing token under which it was sent.
        fence: u64,
    },
}
