//! The state of a repeated call.

use trefoildyke_types::time::Timestamp;

/// The state of a call that is repeated, such as a lease renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Call {
    /// The call is due from the given time on.
    Due(Timestamp),
    /// The call was started and has not been answered.
    InProgress,
}

impl Call {
    /// Marks the call as in progress if it is due; returns whether it was due.
    pub(super) fn start_if_due(&mut self, now: Timestamp) -> bool {
        let is_due = matches!(self, Self::Due(from) if now >= *from);
        if is_due {
            *self = Self::InProgress;
        }
        is_due
    }
}
