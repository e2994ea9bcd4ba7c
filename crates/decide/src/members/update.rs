//! One statement about one member.

use trefoildyke_types::id;

use crate::members::{self, number};

/// States how one member stands.
///
/// Of two statements about a member the one with the higher `(sequence, state)` wins, so the order
/// in which they arrive does not matter.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// The member.
    #[serde(with = "number")]
    pub incarnation: id::Incarnation,
    /// Raised by the member alone, to refute that it is suspect or dead.
    pub sequence: u32,
    /// How it stands.
    pub state: members::State,
    /// Where it runs; left out where the receiver surely knows.
    pub place: Option<members::Place>,
}

impl Update {
    /// Returns the order of statements about one member: the highest wins.
    pub const fn precedence(&self) -> (u32, members::State) {
        (self.sequence, self.state)
    }
}
