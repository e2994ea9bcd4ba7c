//! What a part of the aggregation tree has reported.

use crate::members;

/// Sums up the reports of a member and of all below it in the aggregation tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subtree {
    /// How many members have reported.
    pub count: u32,
    /// How far all of them have come.
    pub versions: members::Versions,
}
