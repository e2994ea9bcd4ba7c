//! Configuration changes that one daemon reads from another.

use trefoildyke_types::resource;

use crate::peer;

/// A request for configuration changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangesRequest {
    /// The caller's version.
    pub from: u64,
    /// The last resource of the previous page, if the caller reads a complete configuration.
    pub after: Option<resource::ResourceKey>,
}

/// Configuration changes, or one page of a complete configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// The version that the answering daemon has in force.
    pub version: u64,
    /// The changes or the page, as the configuration service encodes them.
    pub body: peer::Payload,
}
