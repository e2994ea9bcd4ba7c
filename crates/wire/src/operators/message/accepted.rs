//! The answer to a change.

use trefoildyke_types::resource;

/// Says that a change is accepted: the write is confirmed and will be in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The root version that contains the change.
    pub version: u64,
    /// The resources that were put, as they were accepted.
    pub resources: Vec<resource::Resource>,
}
