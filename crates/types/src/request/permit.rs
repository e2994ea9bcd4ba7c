//! Permits, by which a scheduler allows a dispatch.

use crate::id;

/// Permission for one coordinator to dispatch one request to one endpoint.
///
/// A permit decides only the order and the endpoint of a dispatch. That a request is not dispatched twice
/// is ensured by the coordinator's own state and the [`Intent`](crate::request::Intent), not by the permit.
/// An expired permit is returned unused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permit {
    /// The request.
    pub key: id::RequestKey,
    /// The endpoint to dispatch to.
    pub endpoint: id::EndpointName,
    /// How long the permit is valid after the coordinator received it, in milliseconds.
    pub ttl_ms: u64,
    /// The incarnation of the scheduler that granted the permit.
    pub scheduler: id::Incarnation,
    /// The number of prompt tokens that the scheduler expects in the endpoint's prefix cache.
    pub cached_tokens: u32,
}
