//! The state of a daemon and its surroundings when a request arrives.

use trefoildyke_types::id;

/// The availability of the key-value service for writing records.
///
/// A daemon that cannot reach the key-value service asks its peers to write for it. `Down` therefore
/// means that neither the daemon nor any peer that it can reach has access to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceState {
    /// Records can be written.
    Up,
    /// Records cannot be written.
    Down {
        /// When the outage was first detected, in milliseconds since the Unix epoch.
        since_ms: u64,
    },
}

/// The policy for dispatching requests without a record while the key-value service is down.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum OutagePolicy {
    /// Dispatch idempotent requests whose identifier the daemon issues; each is dispatched at most once.
    #[default]
    Issued,
    /// Also dispatch idempotent requests with a caller's identifier that are not marked as retries. If
    /// the caller retries such a request at another daemon, it can be dispatched twice.
    FirstAttempts,
}

/// A request with the same key at the same daemon, in progress or answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LocalRequest {
    /// The fingerprint of that request's body.
    pub fingerprint: u64,
}

/// The conditions under which a daemon decides on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Conditions {
    /// The daemon's own incarnation.
    pub own: id::Incarnation,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Whether records can be written.
    pub service: ServiceState,
    /// Whether the daemon can reach neither the key-value service nor any peer.
    pub isolated: bool,
    /// Whether the daemon accepts no new work because it is being stopped.
    pub stopping: bool,
    /// Which requests are dispatched without a record during an outage.
    pub policy: OutagePolicy,
    /// How long after its creation an identifier can be used, in milliseconds.
    ///
    /// Records are kept longer than this by more than the maximum clock skew between hosts.
    pub retention_ms: u64,
    /// How far an identifier's creation time may be ahead of this daemon's clock, in milliseconds.
    pub skew_ms: u64,
    /// The request with the same key at this daemon, in progress or answered.
    ///
    /// A refused or abandoned request is left out, because its refusal may not apply to a later attempt.
    pub local: Option<LocalRequest>,
}
