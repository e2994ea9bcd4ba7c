//! A member of the cluster.

use std::net;

use trefoildyke_types::id;

use crate::members;

/// One incarnation of a daemon, as another daemon sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The host.
    pub host: id::HostName,
    /// The incarnation of the daemon's process.
    pub incarnation: id::Incarnation,
    /// The availability zone.
    pub zone: id::ZoneName,
    /// The address at which the daemon accepts connections from its peers.
    pub peer: net::SocketAddr,
    /// The state of the member.
    pub state: members::State,
}
