//! The body of a caller's request.

use crate::id;

/// Says what a request is meant for.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Target {
    /// A prompt for a model.
    Model(id::ModelName),
    /// One operation of a plain service.
    Service(String),
}

/// Holds the body of a caller's request, as `POST /v1/requests` takes it.
///
/// The account comes from the caller's key and the tier from the account and `class`; a caller
/// can name neither.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSpec {
    /// The caller's identifier; `None` has one issued.
    ///
    /// Required if `idempotent` is false.
    #[serde(default)]
    pub id: Option<id::RequestId>,
    /// The pool that serves the request.
    pub pool: id::PoolName,
    /// What the request is meant for.
    pub target: Target,
    /// The request class, which with the account decides the tier.
    pub class: String,
    /// The prompt or the service call's body.
    #[serde(default)]
    pub input: String,
    /// The prompt's length in tokens; `None` has it estimated from `input`.
    #[serde(default)]
    pub prompt_tokens: Option<u32>,
    /// Hashes of the prompt's blocks in order, each covering all before it, for prefix reuse.
    #[serde(default)]
    pub prefix: Vec<u64>,
    /// The most tokens to generate; 0 for a service call.
    #[serde(default)]
    pub max_tokens: u32,
    /// Whether running the request twice does no harm.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// How long the caller will wait, in milliseconds; `None` takes the tier's default.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// Which attempt this is, from 1; more than 1 marks a retry.
    #[serde(default = "first")]
    pub attempt: u32,
    /// The first output offset that the caller has not got yet.
    #[serde(default)]
    pub offset: u64,
}

fn yes() -> bool {
    true
}

fn first() -> u32 {
    1
}
