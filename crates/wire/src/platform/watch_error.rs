//! Errors of watches.

use trefoildyke_types::error;

/// The reason why a watch failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// The service no longer keeps all changes after the requested revision.
    #[error("the revision is too old to watch from; list the keys and watch from there")]
    TooOld,
    /// The call failed.
    #[error("{0}")]
    Failed(error::Error),
}
