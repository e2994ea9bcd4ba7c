//! Where a daemon runs.

use std::net;

use trefoildyke_types::id;

/// Says where a daemon runs; it stays the same for one life of the process.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// The host.
    pub host: id::HostName,
    /// The availability zone.
    pub zone: id::ZoneName,
    /// Where the daemon takes connections from its peers.
    pub peer: net::SocketAddr,
}
