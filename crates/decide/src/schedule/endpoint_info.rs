//! What the configuration says of an endpoint.

use trefoildyke_types::id;

/// Describes an endpoint to the scheduler. Its speed is learned, not declared.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointInfo {
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// How many requests it runs at once; 0 counts as 1.
    pub slots: u32,
    /// How many prompt tokens its prefix cache holds; 0 for none.
    pub cache_tokens: u32,
}
