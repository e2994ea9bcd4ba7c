//! Updates about single members.

use trefoildyke_types::id;

use crate::members::{self, number};

/// An update of one member's state.
///
/// Of two updates for a member the one with the higher `(sequence, state)` wins, so the order in
/// which they arrive does not matter.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Update {
    /// The member.
    #[serde(with = "number")]
    pub incarnation: id::Incarnation,
    /// The sequence number; only the member itself raises it, to refute that it is suspect or dead.
    pub sequence: u32,
    /// The state of the member.
    pub state: members::State,
    /// The location of the member; `None` where the receiver surely knows it.
    pub place: Option<members::Location>,
}

impl Update {
    /// Returns the key by which updates for one member are ordered; the highest wins.
    pub const fn precedence(&self) -> (u32, members::State) {
        (self.sequence, self.state)
    }
}
