//! Starting and stopping a gateway.

use std::{sync, time};

use anyhow::Context as _;
use tokio::net;
use tokio_util::sync as tokio_sync;
use trefoildyke_kernel as kernel;

use crate::{exchange, face, feed, listen, metrics, record, settings, state};

/// For how long after the begin of a stop new requests are still served: until the balancer has
/// noticed, which asks once a second and gives up after two misses.
const NOTICE: time::Duration = time::Duration::from_millis(3_000);

/// What is left of the grace period for closing down.
const CLOSING: time::Duration = time::Duration::from_millis(250);

/// Runs one gateway.
pub struct Gateway {
    shared: sync::Arc<state::Shared>,
    closing: tokio_sync::CancellationToken,
    ending: tokio_sync::CancellationToken,
}

impl Gateway {
    /// Listens and serves on the kernel's traffic threads.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
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
        let gateway = Self {
            shared,
            closing: tokio_sync::CancellationToken::new(),
            ending: tokio_sync::CancellationToken::new(),
        };
        gateway.serve(kernel, sockets);
        let incarnation = gateway.shared.core().incarnation();
        gateway.shared.journal.write(&record::Event::Started { incarnation, callers });
        Ok(gateway)
    }

    fn serve(&self, kernel: &kernel::Kernel, sockets: Sockets) {
        let shared = || sync::Arc::clone(&self.shared);
        let (closing, ending) = (self.closing.clone(), self.ending.clone());
        let traffic = kernel.traffic();
        traffic.spawn("callers", face::serve(shared(), sockets.callers, closing, ending.clone()));
        let served = listen::serve(shared(), sockets.ready, listen::Face::Ready, ending.clone());
        traffic.spawn("ready", served);
        if let Some(metrics) = sockets.metrics {
            let served = listen::serve(shared(), metrics, listen::Face::Metrics, ending.clone());
            traffic.spawn("metrics", served);
        }
        let socket = sync::Arc::new(sockets.peers);
        self.shared.set_socket(sync::Arc::clone(&socket));
        traffic.spawn("exchange", exchange::run(shared(), socket, ending));
    }

    /// Returns where the gateway listens.
    pub fn addresses(&self) -> &settings::Listen {
        &self.shared.settings.listen
    }

    /// Returns the means to tell the gateway what to believe.
    pub fn feed(&self) -> feed::Feed {
        feed::Feed::new(sync::Arc::clone(&self.shared))
    }

    /// Stops gracefully: asks for no new connections, serves those that still come for a while,
    /// lets what is in progress end, and returns how many requests were cut off.
    pub async fn stop(&self) -> usize {
        let begun = tokio::time::Instant::now();
        let limit = begun + self.shared.settings.grace.saturating_sub(CLOSING);
        let active = self.shared.gate.in_progress();
        self.shared.journal.write(&record::Event::Stopping { active });
        self.shared.begin_stop(limit.saturating_duration_since(begun));
        tokio::time::sleep_until(limit.min(begun + NOTICE)).await;
        self.closing.cancel();
        self.shared.gate.close();
        let drained = tokio::time::timeout_at(limit, self.shared.gate.drained()).await;
        let cut = if drained.is_ok() { 0 } else { self.shared.gate.in_progress() };
        // Lets the last answers leave.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        self.ending.cancel();
        self.shared.links.close().await;
        let dropped = self.shared.journal.dropped().count();
        self.shared.journal.write(&record::Event::Stopped { cut, dropped });
        cut
    }
}

impl Drop for Gateway {
    /// Ends what a graceful stop has not ended.
    fn drop(&mut self) {
        self.closing.cancel();
        self.ending.cancel();
    }
}

/// Holds bound sockets.
struct Sockets {
    /// Where they are, with the ports that the system chose.
    addresses: settings::Listen,
    callers: net::TcpListener,
    ready: net::TcpListener,
    metrics: Option<net::TcpListener>,
    peers: net::UdpSocket,
}

impl Sockets {
    async fn bind(at: settings::Listen) -> anyhow::Result<Self> {
        let callers = bind("callers", at.callers).await?;
        let ready = bind("ready", at.ready).await?;
        let metrics = match at.metrics {
            Some(address) => Some(bind("metrics", address).await?),
            None => None,
        };
        let peers = net::UdpSocket::bind(at.peers).await;
        let peers = peers.with_context(|| format!("peers: cannot use {}", at.peers))?;
        let addresses = settings::Listen {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            metrics: metrics.as_ref().map(net::TcpListener::local_addr).transpose()?,
            peers: peers.local_addr()?,
        };
        Ok(Self { addresses, callers, ready, metrics, peers })
    }
}

async fn bind(field: &str, address: std::net::SocketAddr) -> anyhow::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address).await;
    listener.with_context(|| format!("{field}: cannot listen on {address}; choose a free address"))
}
