//! The state of a daemon with respect to the lease.

use trefoildyke_types::time::Timestamp;

use crate::orders::{self, call};

/// The state of this daemon with respect to the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    /// The daemon has no lease and must not acquire it before the given time.
    Idle(Timestamp),
    /// The daemon has requested the lease and waits for the answer.
    Acquiring,
    /// The daemon holds the lease.
    Holding { held_lease: orders::HeldLease, renewal: call::Call },
}
