//! Starts and stops a gateway.

use std::{sync, time};

use anyhow::Context as _;
use tokio::net;
use trefoildyke_kernel as kernel;

use crate::{config_transfer, feed, gossip, ingress, metrics, monitoring, record, settings, state};

/// How long a stopping gateway still serves new requests: until the load balancer, which probes once a second
/// and gives up after two missed probes, has noticed the stop.
const DRAIN_NOTICE: time::Duration = time::Duration::from_millis(3_000);

/// How long idle connections of callers are kept at least after that, so that requests on their way are
/// answered.
const KEPT_TIME: time::Duration = time::Duration::from_millis(1_000);

/// The last part of the grace period, which is reserved for closing connections.
const CLOSE_TIME: time::Duration = time::Duration::from_millis(250);

/// A running gateway.
pub struct Gateway {
    shared: sync::Arc<state::Shared>,
    phases: ingress::StopPhases,
}

impl Gateway {
    /// Binds the sockets and serves on the kernel's traffic threads.
    pub fn start(
        kernel: &kernel::Kernel,
        settings: settings::Settings,
        journal: record::Journal,
    ) -> anyhow::Result<Self> {
        let sockets = kernel.block_on(Sockets::bind(settings.listen))?;
        let settings = settings::Settings { listen: sockets.addresses, ..settings };
        let callers = settings.listen.callers;
        let metrics = metrics::Metrics::new(journal.dropped().clone())?;
        let shared = sync::Arc::new(state::Shared::new(settings, journal, metrics));
        let gateway = Self { shared, phases: ingress::StopPhases::default() };
        gateway.serve(kernel, sockets);
        let incarnation = gateway.shared.core().incarnation();
        gateway.shared.journal.write(&record::Event::Started { incarnation, callers });
        Ok(gateway)
    }

    fn serve(&self, kernel: &kernel::Kernel, sockets: Sockets) {
        let shared = || sync::Arc::clone(&self.shared);
        let shutdown = self.phases.shutdown.clone();
        let traffic = kernel.traffic();
        let served = ingress::serve(shared(), sockets.callers, self.phases.clone());
        traffic.spawn("callers", served);
        let served =
            monitoring::serve(shared(), sockets.ready, monitoring::Page::Ready, shutdown.clone());
        traffic.spawn("ready", served);
        if let Some(metrics) = sockets.metrics {
            let served =
                monitoring::serve(shared(), metrics, monitoring::Page::Metrics, shutdown.clone());
            traffic.spawn("metrics", served);
        }
        let transfers = config_transfer::serve(shared(), sockets.transfers, shutdown.clone());
        traffic.spawn("configuration", transfers);
        let socket = sync::Arc::new(sockets.peers);
        self.shared.set_socket(sync::Arc::clone(&socket));
        traffic.spawn("exchange", gossip::run(shared(), socket, shutdown));
    }

    /// Returns the addresses on which the gateway listens.
    pub fn addresses(&self) -> &settings::Listen {
        &self.shared.settings.listen
    }

    /// Returns a handle that gives the gateway its configuration, endpoints and members.
    pub fn feed(&self) -> feed::Feed {
        feed::Feed::new(sync::Arc::clone(&self.shared))
    }

    /// Stops gracefully and returns how many requests were cut off.
    ///
    /// Reports that it is not ready, serves new connections for a while, then waits until the requests in
    /// progress end or the grace period is over. Meanwhile it refuses requests on connections that are still
    /// open, as callers may use those that no answer has closed.
    pub async fn stop(&self) -> usize {
        let started = tokio::time::Instant::now();
        let limit = started + self.shared.settings.stop_grace.saturating_sub(CLOSE_TIME);
        let active = self.shared.gate.in_progress();
        self.shared.journal.write(&record::Event::Stopping { active });
        self.shared.begin_stop(limit.saturating_duration_since(started));
        tokio::time::sleep_until(limit.min(started + DRAIN_NOTICE)).await;
        self.phases.draining.cancel();
        self.shared.gate.close();
        let kept_until = limit.min(tokio::time::Instant::now() + KEPT_TIME);
        let drained = tokio::time::timeout_at(limit, self.shared.gate.drained()).await;
        let cut = if drained.is_ok() { 0 } else { self.shared.gate.in_progress() };
        let _ = tokio::time::timeout_at(kept_until, self.phases.ended.cancelled()).await;
        self.phases.closing.cancel();
        // Gives the last answers time to be written.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        self.phases.shutdown.cancel();
        self.shared.connections.close().await;
        // A connection to a daemon that has vanished must not delay the end of the stop.
        let _ = tokio::time::timeout(CLOSE_TIME / 2, self.shared.transfers.close()).await;
        let dropped = self.shared.journal.dropped().count();
        self.shared.journal.write(&record::Event::Stopped { cut, dropped });
        cut
    }
}

impl Drop for Gateway {
    /// Stops everything that a graceful stop has not stopped.
    fn drop(&mut self) {
        self.phases.draining.cancel();
        self.phases.closing.cancel();
        self.phases.shutdown.cancel();
    }
}

/// The bound sockets of a gateway.
struct Sockets {
    /// The bound addresses, with the ports that the system chose.
    addresses: settings::Listen,
    callers: net::TcpListener,
    ready: net::TcpListener,
    metrics: Option<net::TcpListener>,
    peers: net::UdpSocket,
    /// Listens at the same address as `peers`, for what does not fit in a datagram.
    transfers: net::TcpListener,
}

impl Sockets {
    async fn bind(at: settings::Listen) -> anyhow::Result<Self> {
        let callers = bind("callers", at.callers).await?;
        let ready = bind("ready", at.ready).await?;
        let metrics = match at.metrics {
            Some(address) => Some(bind("metrics", address).await?),
            None => None,
        };
        let (peers, transfers) = bind_peers(at.peers).await?;
        let addresses = settings::Listen {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            metrics: metrics.as_ref().map(net::TcpListener::local_addr).transpose()?,
            peers: peers.local_addr()?,
        };
        Ok(Self { addresses, callers, ready, metrics, peers, transfers })
    }
}

/// The number of ports to try if the system chooses the port and another process uses it over UDP.
const PORT_ATTEMPTS: usize = 16;

/// Binds one port over both UDP and TCP.
///
/// A port that the system chooses is chosen over TCP, where connections that ended a moment ago still occupy
/// many ports.
async fn bind_peers(
    at: std::net::SocketAddr,
) -> anyhow::Result<(net::UdpSocket, net::TcpListener)> {
    let mut attempt = 1;
    loop {
        let transfers = bind("peers", at).await?;
        let address = transfers.local_addr()?;
        match net::UdpSocket::bind(address).await {
            Err(_) if at.port() == 0 && attempt < PORT_ATTEMPTS => attempt += 1,
            peers => {
                let peers = peers.with_context(|| format!("peers: cannot use {address}"))?;
                return Ok((peers, transfers));
            }
        }
    }
}

async fn bind(field: &str, address: std::net::SocketAddr) -> anyhow::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address).await;
    listener.with_context(|| format!("{field}: cannot listen on {address}; choose a free address"))
}
