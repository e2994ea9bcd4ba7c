//! What the controller is told.

use std::collections;

use trefoildyke_types::time;

use crate::orders;

/// Tells the controller of one event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// All orders of a version of the configuration.
    Orders {
        /// The root version.
        version: u64,
        /// The orders.
        wanted: Vec<orders::Order>,
    },
    /// Whether this daemon is the one that should carry out orders, as far as it knows.
    Eligible(bool),
    /// Answers [`orders::Action::Acquire`]: the lease was taken.
    Acquired {
        /// The fencing token: the revision at which the lease was taken.
        token: u64,
        /// When the last call began that granted or renewed the lease.
        begun: time::Timestamp,
        /// The version that was named in the action; it is confirmed.
        version: u64,
        /// The orders recorded as ended, read after the lease was taken.
        ended: collections::BTreeSet<orders::OrderKey>,
    },
    /// Answers [`orders::Action::Acquire`]: somebody else has the lease, or nobody can tell.
    NotAcquired,
    /// Answers [`orders::Action::Renew`]: the lease was renewed by a call that began then.
    Renewed {
        /// When the call began.
        begun: time::Timestamp,
    },
    /// Answers [`orders::Action::Renew`]: no answer, or none that helps.
    NotRenewed,
    /// The lease has ended.
    LeaseGone,
    /// Answers [`orders::Action::Send`].
    Sent {
        /// The order.
        key: orders::OrderKey,
        /// How sending ended.
        result: orders::SendResult,
    },
    /// Answers [`orders::Action::Store`]: the outcome is recorded.
    Stored(orders::OrderKey),
    /// Answers [`orders::Action::Store`]: the outcome may not be recorded.
    NotStored(orders::OrderKey),
    /// Answers [`orders::Action::Confirm`]: the version is confirmed.
    Confirmed(u64),
    /// Answers [`orders::Action::Confirm`]: it may not be.
    NotConfirmed,
    /// Time has passed.
    Tick,
}
