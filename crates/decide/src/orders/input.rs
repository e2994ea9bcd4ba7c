//! The events that the controller handles.

use std::collections;

use trefoildyke_types::time;

use crate::orders;

/// An event for the controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// All orders in a version of the configuration.
    Orders {
        /// The root version of the configuration.
        version: u64,
        /// The orders.
        wanted: Vec<orders::Order>,
    },
    /// Whether, according to this daemon's own information, it is the one that should carry out orders.
    Eligible(bool),
    /// Answers [`orders::Action::Acquire`]: the lease was acquired.
    Acquired {
        /// The fencing token: the revision at which the lease was acquired.
        token: u64,
        /// When the latest call started that granted or renewed the lease.
        call_start: time::Timestamp,
        /// The version from the action, which is now confirmed.
        version: u64,
        /// The orders that are recorded as ended, read after the lease was acquired.
        ended: collections::BTreeSet<orders::OrderKey>,
    },
    /// Answers [`orders::Action::Acquire`]: another daemon has the lease, its holder is unknown, or this
    /// daemon's configuration is out of date.
    NotAcquired,
    /// Answers [`orders::Action::Renew`]: the lease was renewed.
    Renewed {
        /// When the call started that renewed the lease.
        call_start: time::Timestamp,
    },
    /// Answers [`orders::Action::Renew`]: the service did not answer, or its answer does not tell whether
    /// the lease still exists.
    NotRenewed,
    /// The lease does not exist any more.
    LeaseGone,
    /// Answers [`orders::Action::Send`].
    Sent {
        /// The key of the order.
        key: orders::OrderKey,
        /// The result of sending it.
        result: orders::SendResult,
    },
    /// Answers [`orders::Action::Store`]: the outcome is recorded.
    Stored(orders::OrderKey),
    /// Answers [`orders::Action::Store`]: the outcome may or may not be recorded.
    NotStored(orders::OrderKey),
    /// Answers [`orders::Action::Confirm`]: the version is confirmed.
    Confirmed(u64),
    /// Answers [`orders::Action::Confirm`]: the version may or may not be confirmed.
    NotConfirmed,
    /// Time has passed.
    Tick,
}
