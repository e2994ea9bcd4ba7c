//! One order whose outcome is not recorded yet.

use trefoildyke_types::time::Timestamp;

use crate::orders;

/// The progress of an order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    /// The order is to be sent, but not before the given time.
    Waiting(Timestamp),
    /// The order is in flight.
    Sending,
    /// The order has ended; its outcome is to be recorded, but not before the given time.
    Ended(orders::Outcome, Timestamp),
    /// The outcome is being recorded.
    Storing(orders::Outcome),
}

/// An order that has not ended or whose outcome is not recorded yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OpenOrder {
    pub(super) order: orders::Order,
    pub(super) step: Step,
    /// Whether the configuration no longer contains the order.
    pub(super) is_removed: bool,
}

impl OpenOrder {
    pub(super) fn new(order: orders::Order) -> Self {
        Self { order, step: Step::Waiting(Timestamp::ZERO), is_removed: false }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.step == Step::Sending
    }
}
