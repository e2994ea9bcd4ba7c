//! What a daemon knows of itself and its surroundings when a request arrives.

use trefoildyke_types::id;

/// Says whether records can be written.
///
/// A daemon that does not reach the key-value service itself asks its peers to write for it, so
/// `Down` means that neither it nor any peer that it reaches sees the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceState {
    /// Records can be written.
    Up,
    /// Records cannot be written.
    Down {
        /// When the outage was first seen, in milliseconds since the Unix epoch.
        since_ms: u64,
    },
}

/// Says which requests go on without a record while the key-value service is down.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum OutagePolicy {
    /// Idempotent requests whose identifier the daemon issues; at most one dispatch holds.
    #[default]
    Issued,
    /// Also idempotent requests with a caller's identifier that are not marked as retries; a
    /// caller that retries one at another daemon can have it dispatched twice.
    FirstAttempts,
}

/// Tells of a request with the same key at the same daemon, in progress or answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Local {
    /// The fingerprint of its body.
    pub fingerprint: u64,
}

/// Holds what a daemon knows when a request arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Conditions {
    /// The daemon's own incarnation.
    pub own: id::Incarnation,
    /// The wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Whether records can be written.
    pub service: ServiceState,
    /// Whether the daemon reaches neither the service nor any peer.
    pub isolated: bool,
    /// Whether the daemon takes no new work because it is being stopped.
    pub stopping: bool,
    /// Which requests go on in an outage.
    pub policy: OutagePolicy,
    /// How long after its creation an identifier can be used, in milliseconds.
    ///
    /// Records are deleted later than this by more than the largest difference between clocks.
    pub retention_ms: u64,
    /// How far ahead of this daemon's clock an identifier's time may lie, in milliseconds.
    pub skew_ms: u64,
    /// The request with the same key at this daemon, in progress or answered.
    ///
    /// Never one that was refused or abandoned: what a refusal said need not hold for a later attempt.
    pub local: Option<Local>,
}
