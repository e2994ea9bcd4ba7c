//! Client accounts: who may send requests, and how urgent they are.

use std::collections;

use crate::id;

/// Describes a client account.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccountSpec {
    /// SHA-256 hashes of the account's keys, as 64 lower-case hexadecimal digits each.
    ///
    /// Two hashes let a key be replaced without a gap.
    pub key_hashes: Vec<String>,
    /// The tier of each request class that the account may use.
    pub classes: collections::BTreeMap<String, id::TierName>,
    /// The account's share against others of the same tier; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// The most requests that may wait for the account in one pool; `None` sets no limit.
    #[serde(default)]
    pub max_waiting: Option<u32>,
}

fn one() -> u32 {
    1
}
