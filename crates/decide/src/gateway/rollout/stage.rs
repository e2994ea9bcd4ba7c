//! How far a roll-out is.

/// Says how far the move of a service to another version is. Later stages are higher; nothing goes back.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The order was read. The new version gets nothing.
    Ordered,
    /// The new version gets a small part of the requests.
    Canary,
    /// The new version gets all new requests; the old one ends what it runs.
    Moving,
    /// The new version was found bad and gets nothing more; that is not written down yet.
    Stopped,
    /// The new version was found bad. Final.
    Reverted,
    /// Nothing runs at the old version any more. Final.
    Complete,
}

impl Stage {
    /// Says whether nothing follows.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Reverted | Self::Complete)
    }
}
