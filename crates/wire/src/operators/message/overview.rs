//! The state of the configuration as one daemon knows it.

use trefoildyke_types::id;

/// The state of the configuration as one daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Overview {
    /// The answering daemon's host.
    pub host: id::HostName,
    /// The answering daemon's incarnation.
    pub incarnation: id::Incarnation,
    /// The root version in force at the answering daemon.
    pub version: u64,
    /// The highest root version that every live daemon has reported; 0 if unknown.
    pub in_force: u64,
    /// The root version up to which all planned stops have ended on every live daemon.
    pub settled: u64,
    /// The number of live daemons that the answering daemon knows, including itself.
    pub live: u32,
}
