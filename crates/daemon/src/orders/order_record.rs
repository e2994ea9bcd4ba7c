//! The record of an order that ended.

use trefoildyke_decide::orders;

/// The record of how an order ended; written once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRecord {
    /// The key of the order.
    pub key: orders::OrderKey,
    /// The version of the configuration root that accepted the order.
    pub version: u64,
    /// How the order ended.
    pub outcome: orders::Outcome,
    /// The fencing token with which the order was sent.
    pub fence: u64,
}
