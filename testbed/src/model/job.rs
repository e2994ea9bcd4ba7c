//! What a modelled engine is given to do.

use trefoildyke_types::id;

/// Describes one request to a modelled engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub key: id::RequestKey,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's blocks in order, each covering all before it; it may stop short of
    /// the prompt's end.
    pub prefix: Vec<u64>,
    /// The most tokens to generate, which is all that the engine reports.
    pub max_tokens: u32,
    /// How many tokens the answer will really have; at least 1, at most `max_tokens`.
    pub output_tokens: u32,
}
