//! The listening sockets of a daemon.

use anyhow::Context as _;
use tokio::net;

use crate::{daemon, settings};

/// The bound sockets.
pub(super) struct Listeners {
    pub(super) callers: net::TcpListener,
    pub(super) operators: net::TcpListener,
    pub(super) peers: net::TcpListener,
    pub(super) metrics: net::TcpListener,
}

impl Listeners {
    pub(super) async fn bind(listen: &settings::Listen) -> anyhow::Result<Self> {
        Ok(Self {
            callers: bind("listen.callers", listen.callers).await?,
            operators: bind("listen.operators", listen.operators).await?,
            peers: bind("listen.peers", listen.peers).await?,
            metrics: bind("listen.metrics", listen.metrics).await?,
        })
    }

    pub(super) fn addresses(&self) -> anyhow::Result<daemon::Addresses> {
        Ok(daemon::Addresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
            metrics: self.metrics.local_addr()?,
        })
    }
}

async fn bind(field: &str, address: std::net::SocketAddr) -> anyhow::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address).await;
    listener.with_context(|| format!("{field}: cannot listen on {address}; choose a free address"))
}
