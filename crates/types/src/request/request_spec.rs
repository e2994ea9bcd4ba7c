//! The body of a caller's request.

use crate::id;

/// The model or service operation that a request is for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A prompt for the named model.
    Model(id::ModelName),
    /// One operation of a plain service, by name.
    Service(String),
}

/// The body of `POST /v1/requests`.
///
/// It has no field for the account or the tier: the account follows from the caller's key, and the tier
/// from the account and `class`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSpec {
    /// The identifier that the caller chose; if `None`, the daemon issues one.
    ///
    /// Required if `idempotent` is false.
    #[serde(default)]
    pub id: Option<id::RequestId>,
    /// The pool that serves the request.
    pub pool: id::PoolName,
    /// The model or service operation that the request is for.
    pub target: Target,
    /// The request class; the account's `classes` map it to a tier.
    pub class: String,
    /// The prompt, or the body of the service call.
    #[serde(default)]
    pub input: String,
    /// The length of the prompt in tokens; if `None`, it is estimated from `input`.
    #[serde(default)]
    pub prompt_tokens: Option<u32>,
    /// Hashes of the prompt's blocks in order, for prefix caching; each hash covers all blocks before it too.
    #[serde(default)]
    pub prefix: Vec<u64>,
    /// The maximum number of tokens to generate; 0 for a service call.
    #[serde(default)]
    pub max_tokens: u32,
    /// Whether the request can safely run twice.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// How long the caller waits for the answer, in milliseconds; if `None`, the tier's `deadline_ms`.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// The number of this attempt, from 1; a number above 1 marks a retry.
    #[serde(default = "default_attempt")]
    pub attempt: u32,
    /// The offset, in tokens, of the first output token that the caller has not received yet.
    #[serde(default)]
    pub offset: u64,
}

fn default_idempotent() -> bool {
    true
}

fn default_attempt() -> u32 {
    1
}
