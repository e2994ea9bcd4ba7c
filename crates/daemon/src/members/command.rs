//! Commands to the membership task.

use tokio::sync::oneshot;
use trefoildyke_decide::members;

/// A command to the membership task.
pub(super) enum Command {
    /// Merge the digest of a peer and answer with the own digest.
    Received(members::Digest, oneshot::Sender<members::Digest>),
    /// Announce to the members that this daemon shuts down.
    Leave,
}
