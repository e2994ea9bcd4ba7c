//! How a watch can fail.

use trefoildyke_types::error;

/// Says how a watch failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The service has forgotten changes that the watcher has not seen.
    #[error("the revision is too old to watch from; list the keys and watch from there")]
    TooOld,
    /// The call failed.
    #[error("{0}")]
    Failed(error::Error),
}
