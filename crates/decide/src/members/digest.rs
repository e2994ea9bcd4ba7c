//! The message that daemons exchange.

use trefoildyke_types::id;

use crate::members::{self, number};

/// A summary of a daemon's knowledge; both sides of an exchange send one.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The sender.
    #[serde(with = "number")]
    pub from: id::Incarnation,
    /// [`members::View::hash`] at the sender; `subtree` and `in_force` hold for this set only.
    pub members: u64,
    /// A hash over the incarnations, sequence numbers and states of the members that are not dead.
    pub table: u64,
    /// The configuration version at the sender.
    pub config: u64,
    /// The combined reports of the sender and the members below it in the aggregation tree.
    pub subtree: members::Subtree,
    /// The versions that every member is known to have reached.
    pub in_force: members::Versions,
    /// New updates, the least often sent first.
    pub updates: Vec<members::Update>,
    /// One hash for each part of the table if the tables are being compared; otherwise empty.
    pub parts: Vec<u32>,
    /// The members in the parts that differ; the receiver verifies a death among them before
    /// accepting it.
    pub compared: Vec<members::Update>,
}
