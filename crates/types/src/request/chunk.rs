//! Pieces of a streamed answer.

use crate::id;

/// Holds one piece of an answer.
///
/// Every chunk names its request, so an answer that comes on the wrong connection is recognised.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// The request that the chunk answers.
    pub id: id::RequestId,
    /// The number of tokens before this chunk; consecutive chunks leave no gap.
    pub offset: u64,
    /// The tokens of the chunk, one entry a token.
    pub tokens: Vec<String>,
    /// Set on the last chunk only.
    #[serde(default)]
    pub finish: Option<Finish>,
}

/// Says how an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The answer is whole.
    Whole,
    /// The answer was cancelled and is not whole.
    Cancelled,
}
