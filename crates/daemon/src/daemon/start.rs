//! Starts and stops a daemon.

use std::{sync, time};

use trefoildyke_decide::config;
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::{
    clock,
    daemon::{Addresses, listeners, servers, services},
    settings,
};

/// How long the servers may take to send the answers of ended requests to their callers.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// How long to wait until the other daemons have learned that this daemon leaves.
const LEAVE_DELAY: time::Duration = time::Duration::from_millis(300);

/// A running daemon.
///
/// ```no_run
/// use trefoildyke_daemon::{daemon, settings};
///
/// let settings = settings::Settings::read("trefoildyked.yaml".as_ref())?;
/// let daemon = daemon::Daemon::start(&settings)?;
/// println!("listening {}", daemon.addresses());
/// daemon.run_until_stopped()?;
/// # Ok::<(), anyhow::Error>(())
/// ```
pub struct Daemon {
    kernel: kernel::Kernel,
    settings: settings::Settings,
    addresses: Addresses,
    services: services::Services,
    servers: servers::Servers,
}

impl Daemon {
    /// Starts all services and listens.
    ///
    /// # Errors
    ///
    /// Fails if the daemon cannot listen on an address or if a setting is invalid.
    pub fn start(settings: &settings::Settings) -> anyhow::Result<Self> {
        let kernel = kernel::Kernel::builder().with_traffic_threads(settings.threads).start()?;
        let own = id::Incarnation::new(clock::unix_us() / 1_000, rand::random());
        let keys: Vec<_> = settings.peers.keys.iter().map(settings::Secret::reveal).collect();
        let identity = peer::Identity {
            incarnation: own,
            keys: peer::Keys::new(&keys)?,
            clock: peer::Clock::default(),
        };
        let listeners = kernel.block_on(listeners::Listeners::bind(&settings.listen))?;
        let addresses = listeners.addresses()?;
        let starter = services::ServiceStarter {
            kernel: &kernel,
            settings,
            own,
            clock: clock::Clock::start(),
            identity: identity.clone(),
            peer_address: addresses.peers,
        };
        let services = starter.start()?;
        watch_planned_stop(&kernel, settings, &services);
        let servers = kernel.block_on(async {
            servers::Servers::start(&kernel, settings, identity, listeners, &services)
        })?;
        services.timeline.record(None, "started", addresses.to_string());
        Ok(Self { kernel, settings: settings.clone(), addresses, services, servers })
    }

    /// Returns the addresses on which the daemon listens.
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the registry of the daemon's services by name.
    pub const fn registry(&self) -> &kernel::Registry {
        self.kernel.registry()
    }

    /// Runs until a signal, a planned stop of the host, or a failure; then stops gracefully.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be received or a task has failed.
    pub fn run_until_stopped(mut self) -> anyhow::Result<()> {
        self.kernel.wait_for_stop()?;
        self.stop()
    }

    /// Stops gracefully: accepts no new requests, refuses waiting ones, and lets the others finish.
    ///
    /// # Errors
    ///
    /// Fails if a task has failed.
    pub fn stop(self) -> anyhow::Result<()> {
        let Self { kernel, settings, services, servers, .. } = self;
        services.timeline.record(None, "stopping", "");
        kernel.block_on(async {
            services.members.leave().await;
            services.coordinate.stop();
            let drained = services.gate.drained();
            let limit = settings.coordinate.drain();
            if tokio::time::timeout(limit, drained).await.is_err() {
                let left = services.gate.in_progress();
                log::error!(
                    "{left} requests were aborted at shutdown; increase coordinate.drain_ms"
                );
            }
            // Gives the other daemons time to learn of the leave even if no request was in progress.
            tokio::time::sleep(LEAVE_DELAY).await;
            servers.stop(FLUSH_TIMEOUT).await;
        });
        let faults = kernel.close();
        match faults.first() {
            None => Ok(()),
            Some(fault) => anyhow::bail!("{fault}"),
        }
    }
}

/// Starts a graceful stop when a planned stop of this host is in force.
fn watch_planned_stop(
    kernel: &kernel::Kernel,
    settings: &settings::Settings,
    services: &services::Services,
) {
    let host = settings.host.clone();
    let stopping = kernel.stopping().clone();
    let ending = kernel.control().token().clone();
    let mut snapshots = services.config.subscribe();
    kernel.control().spawn("planned stop", async move {
        let stopped = |snapshot: &sync::Arc<config::Snapshot>| snapshot.stops_host(&host);
        tokio::select! {
            () = ending.cancelled() => {}
            Ok(_) = snapshots.wait_for(stopped) => stopping.cancel(),
        }
        Ok::<(), std::convert::Infallible>(())
    });
}
