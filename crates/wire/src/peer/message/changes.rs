//! Configuration changes on their way from peer to peer.

use crate::peer;

/// Holds the configuration changes after a version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// The version that stands once `body` is applied.
    pub version: u64,
    /// Whether `body` is a whole snapshot, because the changes were no longer kept.
    pub whole: bool,
    /// The changes or the snapshot, as the configuration service encodes them.
    pub body: peer::Payload,
}
