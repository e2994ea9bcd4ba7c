//! What is recorded of an order that ended.

use trefoildyke_decide::orders;

/// Records how an order ended; created once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ended {
    /// The order.
    pub key: orders::OrderKey,
    /// The root version that accepted it.
    pub version: u64,
    /// How it ended.
    pub outcome: orders::Outcome,
    /// The fencing token under which it was sent.
    pub fence: u64,
}
