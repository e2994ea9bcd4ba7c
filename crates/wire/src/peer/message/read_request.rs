//! The request to read an answer from its coordinator.

use trefoildyke_types::id;

/// A request for the chunks of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadRequest {
    /// The key of the answered request.
    pub key: id::RequestKey,
    /// The first output offset to return.
    pub offset: u64,
    /// The longest time to wait if no chunk is available, in milliseconds.
    pub wait_ms: u64,
}
