//! A call that is repeated.

use trefoildyke_types::time::Timestamp;

/// How a call that is repeated stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Call {
    /// Not to be made before the time given.
    Due(Timestamp),
    InProgress,
}

impl Call {
    /// Begins the call if it is due; says whether it was.
    pub(super) fn begin(&mut self, now: Timestamp) -> bool {
        let is_due = matches!(self, Self::Due(from) if now >= *from);
        if is_due {
            *self = Self::InProgress;
        }
        is_due
    }
}
