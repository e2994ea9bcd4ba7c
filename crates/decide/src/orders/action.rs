//! What the controller wants done.

use trefoildyke_types::time;

use crate::orders;

/// Asks the caller of the controller for one action.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Take the lease, with a time to live of [`orders::Params::ttl`], and then confirm the version.
    ///
    /// If a higher version was ever confirmed, this daemon's configuration is old: give the lease
    /// back and answer [`orders::Input::NotAcquired`].
    Acquire {
        /// The version of the configuration that this daemon knows.
        version: u64,
    },
    /// Confirm a version: record it as the lowest with which anybody may carry out orders.
    Confirm {
        /// The version.
        version: u64,
    },
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
