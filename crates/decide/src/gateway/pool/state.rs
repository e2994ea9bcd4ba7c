//! The state of an endpoint for logs and metrics.

use trefoildyke_types::id;

/// A daemon's estimate of an endpoint's state.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// The number of requests of this daemon.
    pub own: u32,
    /// The number of requests of the other daemons, by their latest reports.
    pub others: u32,
    /// The time between two tokens, in milliseconds.
    pub step_ms: f64,
    /// The fraction of the answers that failed.
    pub failures: f64,
    /// How long the endpoint has been silent while it had requests of this daemon, in milliseconds.
    pub silent_ms: u64,
}
