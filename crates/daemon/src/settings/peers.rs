//! How the daemon finds the other daemons and authenticates to them.

use std::net;

use trefoildyke_wire::peer;

use crate::settings;

/// The settings of how the daemon finds the other daemons and authenticates to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// The shared keys of at least 16 bytes each; the first signs, and all verify. At least one is required.
    pub keys: Vec<settings::Secret>,
    /// The peer addresses of other daemons to contact at the start; the list of hosts provides more.
    pub seeds: Vec<net::SocketAddr>,
    /// The address at which other daemons reach this one, if it differs from the address on which it listens.
    pub advertise: Option<net::SocketAddr>,
    /// The limits of the connections.
    pub limits: peer::Limits,
}
