//! Reading an answer from its coordinator.

use trefoildyke_types::id;

/// Asks for the chunks of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReadRequest {
    /// The request.
    pub key: id::RequestKey,
    /// The first output offset that is wanted.
    pub offset: u64,
    /// How long to wait for a chunk if none is there, in milliseconds.
    pub wait_ms: u64,
}
