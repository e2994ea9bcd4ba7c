//! One order that has not ended.

use trefoildyke_types::time::Timestamp;

use crate::orders;

/// How far an order has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    /// To be sent, not before the time given.
    Waiting(Timestamp),
    /// In flight.
    Sending,
    /// Its outcome is to be recorded, not before the time given.
    Ended(orders::Outcome, Timestamp),
    /// Its outcome is being recorded.
    Storing(orders::Outcome),
}

/// Holds an order that has not ended, or whose end is not recorded.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Open {
    pub(super) order: orders::Order,
    pub(super) step: Step,
    /// Whether the configuration no longer names it.
    pub(super) is_dropped: bool,
}

impl Open {
    pub(super) fn new(order: orders::Order) -> Self {
        Self { order, step: Step::Waiting(Timestamp::ZERO), is_dropped: false }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.step == Step::Sending
    }
}
