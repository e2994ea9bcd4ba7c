//! A request whose account and form have been checked.

use std::time;

use trefoildyke_types::{id, request};

/// Holds a request whose account, pool, class and sizes have been checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// The account that owns the key.
    pub account: id::AccountName,
    /// The rank of the tier that the account's class maps to.
    pub rank: u8,
    /// How long the caller waits; the tier's default if the caller named nothing.
    pub deadline: time::Duration,
    /// The prompt's length in tokens, estimated from the input if the caller named none.
    pub prompt_tokens: u32,
    /// The caller's body.
    pub spec: request::RequestSpec,
}
