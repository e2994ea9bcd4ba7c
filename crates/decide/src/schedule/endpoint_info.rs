//! The description of an endpoint.

use trefoildyke_types::id;

/// The configured properties of an endpoint. Its speed is learned, not configured.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointInfo {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// The number of requests that the endpoint runs at once; 0 counts as 1.
    pub slots: u32,
    /// The capacity of the endpoint's prefix cache, in prompt tokens; 0 means no cache.
    pub cache_tokens: u32,
}
