//! The answer to a watch of the configuration.

use trefoildyke_types::resource;

/// The changes since a version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watched {
    /// The root version in force at the answering daemon; the next watch starts after it.
    pub version: u64,
    /// The highest root version that every live daemon has reported; 0 if unknown.
    pub in_force: u64,
    /// The root version up to which all planned stops have ended on every live daemon.
    pub settled: u64,
    /// The resources accepted after the requested version, with their status.
    pub resources: Vec<resource::Resource>,
}
