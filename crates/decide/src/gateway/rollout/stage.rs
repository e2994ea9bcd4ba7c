//! The stages of a rollout.

/// The stage of a rollout. Later stages compare as greater, and a rollout never returns to an
/// earlier stage.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The order was read. The new version gets no requests.
    Ordered,
    /// The new version gets a small share of the requests.
    Canary,
    /// The new version gets all new requests; the old one finishes its requests.
    Moving,
    /// The new version was found bad and gets no more requests; this is not yet written to the
    /// store.
    Stopped,
    /// The new version was found bad. Final.
    Reverted,
    /// No request runs at the old version any more. Final.
    Complete,
}

impl Stage {
    /// Returns whether the stage is final.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Reverted | Self::Complete)
    }
}
