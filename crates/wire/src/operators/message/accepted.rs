//! The answer to a configuration change.

use trefoildyke_types::resource;

/// The answer to an accepted change: the write is confirmed and will take effect on every daemon.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The root version that contains the change.
    pub version: u64,
    /// The resources that the change wrote, as they were accepted.
    pub resources: Vec<resource::Resource>,
}
