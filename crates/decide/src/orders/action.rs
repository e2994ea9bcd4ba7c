//! The actions that the controller requests.

use trefoildyke_types::time;

use crate::orders;

/// An action that the caller of the controller must carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Acquire the lease, with a time to live of [`orders::Params::ttl`], and then confirm the version.
    ///
    /// If a higher version was ever confirmed, this daemon's configuration is out of date: release the
    /// lease and answer [`orders::Input::NotAcquired`].
    Acquire {
        /// The version of the configuration that this daemon has.
        version: u64,
    },
    /// Confirm a version: record it as the lowest configuration version with which any daemon may carry
    /// out orders.
    Confirm {
        /// The version to confirm.
        version: u64,
    },
    /// Renew the lease.
    Renew,
    /// Release the lease; the controller expects no answer.
    Release,
    /// Send an order once.
    Send {
        /// The order.
        order: orders::Order,
        /// The fencing token to send with it.
        fence: u64,
        /// The time from which on the order must not be written. Check the clock against it directly
        /// before writing.
        send_deadline: time::Timestamp,
    },
    /// Record how an order ended.
    Store {
        /// The key of the order.
        key: orders::OrderKey,
        /// The outcome of the order.
        outcome: orders::Outcome,
        /// The fencing token under which it was sent.
        fence: u64,
    },
}
