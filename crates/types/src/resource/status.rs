//! The status of a resource.

/// How far the application of a resource has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Phase {
    /// The resource is accepted, but some live daemon has not reported its version yet.
    Accepted,
    /// Every live daemon has reported a root version that contains the resource.
    InForce,
    /// The planned stop waits for requests in progress to end.
    Stopping,
    /// No request is in progress on the target of the planned stop, and no new one will start.
    Stopped,
    /// The engine order was carried out.
    Done,
    /// The engine order failed; `message` gives the reason.
    Failed,
}

/// The observed status of a resource.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// How far the application of the resource has progressed.
    pub phase: Phase,
    /// The number of live daemons known to have reported the resource's version.
    ///
    /// The value is that of `live` once all of them have reported the version, and 0 before.
    pub reported: u32,
    /// The number of live daemons, as far as the answering daemon knows.
    pub live: u32,
    /// Human-readable details.
    #[serde(default)]
    pub message: String,
}
