//! Client accounts: who may send requests, and with which priority.

use std::collections;

use crate::id;

/// The specification of a client account.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccountSpec {
    /// The SHA-256 hashes of the account's keys, as 64 lower-case hexadecimal digits each.
    ///
    /// With two hashes, the old key stays valid while clients switch to the new one.
    pub key_hashes: Vec<String>,
    /// The request classes that the account may use, each with its tier.
    pub classes: collections::BTreeMap<String, id::TierName>,
    /// The account's weight in fair queuing among the accounts of a tier; at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The maximum number of the account's requests waiting in one pool shard; `None` for no limit.
    #[serde(default)]
    pub max_waiting: Option<u32>,
}

fn default_weight() -> u32 {
    1
}
