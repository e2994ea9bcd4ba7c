//! The addresses on which the daemon listens.

use std::net;

/// The addresses on which the daemon listens; port 0 selects any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Listen {
    /// The address for callers.
    pub callers: net::SocketAddr,
    /// The address for operators.
    pub operators: net::SocketAddr,
    /// The address for the other daemons.
    pub peers: net::SocketAddr,
    /// The address at which metrics are scraped.
    pub metrics: net::SocketAddr,
}

const fn loopback(port: u16) -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), port)
}

impl Default for Listen {
    fn default() -> Self {
        Self {
            callers: loopback(7400),
            operators: loopback(7401),
            peers: loopback(7402),
            metrics: loopback(7403),
        }
    }
}
