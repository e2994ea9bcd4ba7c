//! The body of `POST /v1/generate`.

use trefoildyke_types::id;

/// A request to an engine to start a stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generate {
    /// The request's ID.
    pub id: id::RequestId,
    /// The client account that sent the request.
    pub account: id::AccountName,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's blocks, in order; each hash also covers all earlier blocks.
    pub prefix: Vec<u64>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The prompt.
    pub input: String,
}

impl Generate {
    /// Returns the key that identifies the stream at the engine.
    pub fn key(&self) -> id::RequestKey {
        id::RequestKey { account: self.account.clone(), id: self.id }
    }
}
