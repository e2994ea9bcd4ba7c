//! The actions that the membership requests.

use trefoildyke_types::id;

use crate::members;

/// An action that the caller of the membership must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a digest, then pass in [`members::Input::Answered`] or [`members::Input::Failed`].
    Exchange {
        /// The receiver of the digest.
        target: members::Target,
        /// The digest.
        digest: members::Digest,
    },
    /// Answer the exchange that was received.
    Answer(members::Digest),
    /// Ask `via` to reach `target`, then pass in [`members::Input::Probed`].
    Probe {
        /// The helper that tries to reach `target`.
        via: id::Incarnation,
        /// The member to reach.
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
