//! What a daemon shows of an endpoint.

use trefoildyke_types::id;

/// Describes what a daemon believes of an endpoint.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// Requests of this daemon.
    pub own: u32,
    /// Requests of the other daemons, as they told last.
    pub others: u32,
    /// The time between two tokens, in milliseconds.
    pub step_ms: f64,
    /// The part of the answers that were failures.
    pub failures: f64,
    /// For how long it has said nothing though it has work, in milliseconds.
    pub silent_ms: u64,
}
