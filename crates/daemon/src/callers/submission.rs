//! A request that has been checked against the configuration.

use std::time;

use trefoildyke_types::{id, request};

/// A request whose account, pool, class and sizes have been checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The client account that the API key belongs to.
    pub account: id::AccountName,
    /// The rank of the tier that the account maps the request's class to; 0 is the most urgent.
    pub rank: u8,
    /// How long the caller waits; the tier's default if the caller gave no deadline.
    pub deadline: time::Duration,
    /// The prompt's length in tokens, estimated from the input if the caller gave none.
    pub prompt_tokens: u32,
    /// The body of the caller's request.
    pub spec: request::RequestSpec,
}
