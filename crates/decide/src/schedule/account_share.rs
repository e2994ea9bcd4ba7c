//! What the configuration grants a client account.

use trefoildyke_types::id;

/// Holds a client account's share of a shard.
///
/// An account that was never named has weight 1 and no limit.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountShare {
    /// The account.
    pub account: id::AccountName,
    /// The share against other accounts of the same tier; 0 counts as 1.
    pub weight: u32,
    /// The most requests that may wait at once; `None` sets no limit.
    pub max_waiting: Option<u32>,
}
