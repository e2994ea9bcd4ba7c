//! What a coordinator tells a scheduler about a waiting request.

use crate::id;

/// Describes a waiting request to the scheduler of its pool shard.
///
/// The prompt itself never reaches the scheduler.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The request.
    pub key: id::RequestKey,
    /// The coordinator that waits for the permit.
    pub coordinator: id::Incarnation,
    /// The tier's rank; 0 is the most urgent and the last to be shed.
    pub rank: u8,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's blocks in order, each covering all before it.
    pub prefix: Vec<u64>,
    /// The time left until the deadline when the ask was sent, in milliseconds.
    pub left_ms: u64,
}
