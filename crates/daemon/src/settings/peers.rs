//! How the daemon finds the others and proves itself to them.

use std::net;

use trefoildyke_wire::peer;

use crate::settings;

/// Holds how the daemon finds the others and proves itself to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Peers {
    /// The shared keys, 16 bytes or longer: the first signs, all verify.
    pub keys: Vec<settings::Secret>,
    /// Peer addresses of other daemons, for the start; the host list brings more.
    pub seeds: Vec<net::SocketAddr>,
    /// Where others reach this daemon, if that is not where it listens.
    pub advertise: Option<net::SocketAddr>,
    /// Limits of the connections.
    pub limits: peer::Limits,
}
