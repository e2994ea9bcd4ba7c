//! What holds of a resource.

/// Says how far a resource has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// Accepted, but not yet reported by every live daemon.
    Accepted,
    /// Every live daemon has reported a root version that contains the resource.
    InForce,
    /// A planned stop waits for requests in progress to end.
    Stopping,
    /// Nothing of a planned stop's target is in progress and nothing new will start.
    Stopped,
    /// An order was carried out.
    Done,
    /// An order failed; `message` says why.
    Failed,
}

/// Describes what holds of a resource.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// How far the resource has come.
    pub phase: Phase,
    /// Live daemons that have reported the resource's version.
    pub reported: u32,
    /// Live daemons, as far as the answering daemon knows.
    pub live: u32,
    /// Details for a person to read.
    #[serde(default)]
    pub message: String,
}
