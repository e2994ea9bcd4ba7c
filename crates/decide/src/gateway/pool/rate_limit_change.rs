//! A change of an endpoint's rate limit.

use trefoildyke_types::id;

/// A change of the rate limit that this daemon applies to an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimitChange {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// The limit in requests per second; `None` if the endpoint has withdrawn it.
    pub per_s: Option<f64>,
}
