//! Where a daemon listens.

use std::{fmt, net};

/// Holds the addresses on which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For operators.
    pub operators: net::SocketAddr,
    /// For the other daemons.
    pub peers: net::SocketAddr,
    /// For the scraping of metrics.
    pub metrics: net::SocketAddr,
}

impl fmt::Display for Addresses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { callers, operators, peers, metrics } = self;
        write!(f, "callers={callers} operators={operators} peers={peers} metrics={metrics}")
    }
}
