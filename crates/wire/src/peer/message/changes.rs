//! Configuration changes on their way from peer to peer.

use trefoildyke_types::resource;

use crate::peer;

/// Asks for configuration changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangesRequest {
    /// The version that the caller has.
    pub from: u64,
    /// The last resource of the page before, if the caller reads a whole configuration.
    pub after: Option<resource::ResourceKey>,
}

/// Holds configuration changes, or one page of a whole configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// The version that the answering daemon has in force.
    pub version: u64,
    /// The answer, as the configuration service encodes it.
    pub body: peer::Payload,
}
