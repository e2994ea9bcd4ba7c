//! A client account's share of a shard.

use trefoildyke_types::id;

/// A client account's share of a shard, as configured.
///
/// An account without a configured share has weight 1 and no limit.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountShare {
    /// The account.
    pub account: id::AccountName,
    /// The weight relative to other accounts of the same tier; 0 counts as 1.
    pub weight: u32,
    /// The maximum number of requests that may wait at once; `None` means no limit.
    pub max_waiting: Option<u32>,
}
