//! One daemon as the others see it.

use std::net;

use trefoildyke_types::id;

use crate::members;

/// Describes one life of one daemon as another daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The host.
    pub host: id::HostName,
    /// The life of the process.
    pub incarnation: id::Incarnation,
    /// The availability zone.
    pub zone: id::ZoneName,
    /// Where the daemon takes connections from its peers.
    pub peer: net::SocketAddr,
    /// How it stands.
    pub state: members::State,
}
