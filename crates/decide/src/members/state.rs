//! How a member stands in a view.

/// Says how a member stands; of two statements with one sequence number the later state wins.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer and may be dead; it gets no soft roles.
    Suspect,
    /// It said that it is shutting down; it answers but gets no soft roles.
    Leaving,
    /// It has been silent for too long, or its host runs a later incarnation.
    Dead,
}

impl State {
    /// Returns whether the member counts as part of the cluster.
    pub const fn counts(self) -> bool {
        !matches!(self, Self::Dead)
    }
}
