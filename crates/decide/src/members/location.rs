//! The location of a daemon.

use std::net;

use trefoildyke_types::id;

/// The location of a daemon; it stays the same for one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Location {
    /// The host.
    pub host: id::HostName,
    /// The availability zone.
    pub zone: id::ZoneName,
    /// The address at which the daemon accepts connections from its peers.
    pub peer: net::SocketAddr,
}
