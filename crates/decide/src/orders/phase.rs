//! How a daemon stands towards the lease.

use trefoildyke_types::time::Timestamp;

use crate::orders::{self, call};

/// How this daemon stands towards the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// Without the lease; not to be taken before the time given.
    Idle(Timestamp),
    Acquiring,
    Holding {
        holding: orders::Holding,
        renewal: call::Call,
    },
}
