//! `POST /v1/generate`

use trefoildyke_types::id;

/// Asks an engine to start a stream.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Generate {
    /// The request's identifier.
    pub id: id::RequestId,
    /// The account that sent it.
    pub account: id::AccountName,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's blocks in order, each covering all before it.
    pub prefix: Vec<u64>,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The prompt.
    pub input: String,
}

impl Generate {
    /// Returns the key under which the engine knows the stream.
    pub fn key(&self) -> id::RequestKey {
        id::RequestKey { account: self.account.clone(), id: self.id }
    }
}
