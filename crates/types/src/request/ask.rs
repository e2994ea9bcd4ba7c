//! Permit requests that coordinators send to schedulers.

use crate::id;

/// A coordinator's request for a permit, sent to the scheduler of the pool shard.
///
/// It describes the waiting request without the prompt, which the scheduler never receives.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The waiting request.
    pub key: id::RequestKey,
    /// The coordinator that asks for the permit.
    pub coordinator: id::Incarnation,
    /// The tier's rank; 0 is the most urgent and the last to be shed.
    pub rank: u8,
    /// The length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hashes of the prompt's blocks in order; each hash covers all blocks before it too.
    pub prefix: Vec<u64>,
    /// A hash of the request's content, the same when it is sent again under another identifier;
    /// `None` if unknown.
    #[serde(default)]
    pub fingerprint: Option<u64>,
    /// The time that remained until the deadline when the message was sent, in milliseconds.
    pub left_ms: u64,
}
