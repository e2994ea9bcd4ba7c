//! What two daemons tell each other in an exchange.

use trefoildyke_types::id;

use crate::members::{self, number};

/// Sums up what a daemon knows; both sides of an exchange send one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The sender.
    #[serde(with = "number")]
    pub from: id::Incarnation,
    /// [`members::View::hash`] at the sender; `subtree` and `in_force` hold for this set only.
    pub members: u64,
    /// A hash over the members that are not dead with their sequence numbers and states.
    pub table: u64,
    /// The configuration version at the sender.
    pub config: u64,
    /// What the sender and the members below it in the aggregation tree have reported.
    pub subtree: members::Subtree,
    /// How far every member is known to have come.
    pub in_force: members::Versions,
    /// News, the least often sent first.
    pub updates: Vec<members::Update>,
    /// One hash for each part of the table, if the tables are being compared; else empty.
    pub parts: Vec<u32>,
    /// Members in the parts that differ; a death among them is checked before it is believed.
    pub compared: Vec<members::Update>,
}
