//! What reaches the service's task.

use tokio::sync::oneshot;
use trefoildyke_decide::members;

/// Asks the service's task for something.
pub(super) enum Command {
    /// Merge a peer's digest and answer it.
    Received(members::Digest, oneshot::Sender<members::Digest>),
    /// Announce that this daemon shuts down.
    Leave,
}
