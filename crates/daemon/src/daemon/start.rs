//! Starting and stopping a daemon.

use std::{sync, time};

use trefoildyke_decide::config;
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::{
    clock,
    daemon::{Addresses, faces, listeners, services},
    settings,
};

/// How long answers whose requests have ended may take to reach their callers.
const FLUSH: time::Duration = time::Duration::from_secs(5);
/// How long the others may take to hear that this daemon leaves.
const LEAVE: time::Duration = time::Duration::from_millis(300);

/// Runs one daemon.
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
    faces: faces::Faces,
}

impl Daemon {
    /// Starts every service and listens.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on or a setting does not fit.
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
        let base = services::Base {
            kernel: &kernel,
            settings,
            own,
            clock: clock::Clock::start(),
            identity: identity.clone(),
            peer_address: addresses.peers,
        };
        let services = base.start()?;
        watch_planned_stop(&kernel, settings, &services);
        let faces = kernel.block_on(async {
            faces::Faces::start(&kernel, settings, identity, listeners, &services)
        })?;
        services.timeline.record(None, "started", addresses.to_string());
        Ok(Self { kernel, settings: settings.clone(), addresses, services, faces })
    }

    /// Returns where the daemon listens.
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns the daemon's services by name.
    pub const fn registry(&self) -> &kernel::Registry {
        self.kernel.registry()
    }

    /// Runs until a signal, a planned stop of the host or a fault, and then stops gracefully.
    ///
    /// # Errors
    ///
    /// Fails if signals cannot be received or a task has failed.
    pub fn run_until_stopped(mut self) -> anyhow::Result<()> {
        self.kernel.wait_for_stop()?;
        self.stop()
    }

    /// Stops gracefully: takes nothing new, refuses what waits, lets the rest finish.
    ///
    /// # Errors
    ///
    /// Fails if a task has failed.
    pub fn stop(self) -> anyhow::Result<()> {
        let Self { kernel, settings, services, faces, .. } = self;
        services.timeline.record(None, "stopping", "");
        kernel.block_on(async {
            services.members.leave().await;
            services.coordinate.stop();
            let drained = services.gate.drained();
            let limit = settings.coordinate.drain();
            if tokio::time::timeout(limit, drained).await.is_err() {
                let left = services.gate.in_progress();
                log::error!("{left} requests were cut off; allow a longer coordinate.drain_ms");
            }
            // Lets the others hear of the leaving even if nothing was in progress.
            tokio::time::sleep(LEAVE).await;
            faces.stop(FLUSH).await;
        });
        let faults = kernel.close();
        match faults.first() {
            None => Ok(()),
            Some(fault) => anyhow::bail!("{fault}"),
        }
    }
}

/// Begins a graceful stop when a planned stop of this host is in force.
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
