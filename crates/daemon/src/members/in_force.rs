//! How far every member has come.

use trefoildyke_decide::members;

/// Says how far every member of a set has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// How far; zero while it is not known for the present set of members.
    pub versions: members::Versions,
    /// [`members::View::hash`] of the set.
    pub members: u64,
}
