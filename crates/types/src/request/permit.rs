//! The scheduler's leave to dispatch.

use crate::id;

/// Allows one coordinator to dispatch one request to one endpoint.
///
/// A permit orders and places; it does not make a dispatch safe. That is what the coordinator's
/// own state and the intent are for. An expired permit is handed back unused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permit {
    /// The request.
    pub key: id::RequestKey,
    /// Where to dispatch.
    pub endpoint: id::EndpointName,
    /// How long the permit holds after it was received, in milliseconds.
    pub ttl_ms: u64,
    /// The scheduler's incarnation.
    pub scheduler: id::Incarnation,
    /// How many prompt tokens the scheduler expects in the endpoint's cache.
    pub cached_tokens: u32,
}
