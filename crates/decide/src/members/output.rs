//! What the membership wants done.

use trefoildyke_types::id;

use crate::members;

/// Describes something to do for the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a digest and come back with [`members::Input::Answered`] or [`members::Input::Failed`].
    Exchange {
        /// Whom to send it to.
        target: members::Target,
        /// The digest.
        digest: members::Digest,
    },
    /// Answer the exchange that was received.
    Answer(members::Digest),
    /// Have `via` try to reach `target` and come back with [`members::Input::Probed`].
    Probe {
        /// The member that tries.
        via: id::Incarnation,
        /// The member to be reached.
        target: id::Incarnation,
    },
    /// Fetch the configuration changes from a member that has a later version.
    Pull {
        /// The member.
        from: id::Incarnation,
        /// Its version.
        version: u64,
    },
    /// The view or the version in force has changed.
    Changed,
}
