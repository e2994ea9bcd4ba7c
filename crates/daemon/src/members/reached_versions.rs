//! The versions that every member has reached.

use trefoildyke_decide::members;

/// The versions that every member of a set has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachedVersions {
    /// The versions; zero while they are not known for the current set of members.
    pub versions: members::Versions,
    /// The [`members::View::hash`] of the set.
    pub members: u64,
}
