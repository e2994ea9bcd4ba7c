//! The combined reports of a subtree of the aggregation tree.

use crate::members;

/// The combined reports of a member and of all members below it in the aggregation tree.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Subtree {
    /// The number of members that have reported.
    pub count: u32,
    /// The versions that all of them have reached.
    pub versions: members::Versions,
}
