//! The states of members.

/// The state of a member; of two updates with the same sequence number the later state wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The member answers.
    Alive,
    /// The member did not answer and may be dead; it gets no soft roles.
    Suspect,
    /// The member announced its shutdown; it answers but gets no soft roles.
    Leaving,
    /// The member has been silent for too long, or a later incarnation uses its address.
    Dead,
}

impl State {
    /// Returns whether the member counts as part of the cluster.
    pub const fn is_member(self) -> bool {
        !matches!(self, Self::Dead)
    }
}
