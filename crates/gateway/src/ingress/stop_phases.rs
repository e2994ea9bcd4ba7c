//! The phases of a graceful stop.

use tokio_util::sync as tokio_sync;

/// The phases of a graceful stop, each of which is cancelled when it begins.
#[derive(Clone, Debug, Default)]
pub(crate) struct StopPhases {
    /// No more connections of callers are accepted.
    pub(crate) draining: tokio_sync::CancellationToken,
    /// All connections of callers have ended.
    pub(crate) ended: tokio_sync::CancellationToken,
    /// Idle connections of callers are closed.
    pub(crate) closing: tokio_sync::CancellationToken,
    /// Everything ends.
    pub(crate) shutdown: tokio_sync::CancellationToken,
}
