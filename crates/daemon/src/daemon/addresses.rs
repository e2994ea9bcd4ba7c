//! The addresses of a daemon.

use std::{fmt, net};

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The address for callers.
    pub callers: net::SocketAddr,
    /// The address for operators.
    pub operators: net::SocketAddr,
    /// The address for the other daemons.
    pub peers: net::SocketAddr,
    /// The address for scraping metrics.
    pub metrics: net::SocketAddr,
}

impl fmt::Display for Addresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { callers, operators, peers, metrics } = self;
        write!(f, "callers={callers} operators={operators} peers={peers} metrics={metrics}")
    }
}
