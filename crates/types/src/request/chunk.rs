//! Chunks of a streamed answer.

use crate::id;

/// One chunk of a streamed answer.
///
/// Every chunk carries the identifier of its request, so a receiver can detect an answer that arrives on the
/// wrong connection.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// The request that the chunk answers.
    pub id: id::RequestId,
    /// The number of output tokens before this chunk; consecutive chunks leave no gap.
    pub offset: u64,
    /// The tokens of the chunk, one entry per token.
    pub tokens: Vec<String>,
    /// How the answer ended; set on the last chunk only.
    #[serde(default)]
    pub finish: Option<Finish>,
}

/// How a streamed answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The answer is complete.
    Whole,
    /// The answer was cancelled and is incomplete.
    Cancelled,
}
