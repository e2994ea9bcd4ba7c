//! The service's tasks.

use std::{collections, sync, time};

use tokio::{sync::mpsc, sync::watch, task};
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::platform;

use crate::intents::{
    Handle, Route, Settings, Stats, agreement, committer, forwarder, outage, parts, ready, sweep,
};

/// How often a daemon that is cut off asks whether the service answers again, at least.
const PROBE: time::Duration = time::Duration::from_millis(500);

/// How many daemons ask in a second, together and at most.
const PROBES_PER_S: u32 = 100;

/// Holds the service until it runs.
pub struct Service {
    settings: Settings,
    route: Route,
    kv: platform::KvClient,
    stats: Stats,
    outage: outage::Outage,
    ready: watch::Sender<Option<sync::Arc<ready::Ready>>>,
    forwards: mpsc::Receiver<forwarder::Forward>,
}

/// Creates the service and its handle.
///
/// The client's deadline should be `try_ms` or less, because a write that was begun is waited for.
///
/// # Errors
///
/// An error of kind `Invalid` if the settings do not fit together.
pub fn create(
    settings: Settings,
    route: Route,
    kv: platform::KvClient,
) -> Result<(Handle, Service), error::Error> {
    settings.check()?;
    let (forward, forwards) = mpsc::channel(settings.waiting);
    let (ready, seen) = watch::channel(None);
    let stats = Stats::default();
    let outage = outage::Outage::new(kv.clone());
    let handle = Handle {
        settings,
        route: route.clone(),
        outage: outage.clone(),
        stats: stats.clone(),
        ready: seen,
        forward,
    };
    Ok((handle, Service { settings, route, kv, stats, outage, ready, forwards }))
}

impl Service {
    /// Runs until the token is cancelled, and joins every task.
    pub async fn run(self, token: tokio_sync::CancellationToken) {
        let mut tasks = task::JoinSet::new();
        let probing = probe(self.outage, self.kv.clone(), self.route.clone());
        tasks.spawn(until_cancelled(token.clone(), probing));
        let forwarder = forwarder::Forwarder {
            route: self.route.clone(),
            timeout: self.settings.try_time(),
            stats: self.stats.clone(),
            queue: self.forwards,
        };
        tasks.spawn(forwarder.run(token.clone()));
        let wanted = self.settings.layout();
        let layout = tokio::select! {
            () = token.cancelled() => None,
            layout = agreement::agree(&self.kv, wanted) => Some(layout),
        };
        if let Some(layout) = layout {
            let sweep = sweep::Sweep {
                layout,
                route: self.route.clone(),
                kv: self.kv.clone(),
                stats: self.stats.clone(),
            };
            tasks.spawn(until_cancelled(token.clone(), sweep.run()));
            let parts = parts::Parts::new(self.kv, self.stats.clone());
            let queues = (0..layout.buckets).map(|_| {
                let (sender, queue) = mpsc::channel(self.settings.waiting);
                let committer = committer::Committer {
                    settings: self.settings,
                    layout,
                    parts: parts.clone(),
                    stats: self.stats.clone(),
                    queue,
                    origin: time::Instant::now(),
                    ledgers: collections::HashMap::new(),
                };
                tasks.spawn(committer.run(token.clone()));
                sender
            });
            let ready = ready::Ready { layout, queues: queues.collect() };
            self.ready.send_replace(Some(sync::Arc::new(ready)));
        }
        while tasks.join_next().await.is_some() {}
        self.ready.send_replace(None);
    }
}

/// Asks whether the service answers again while this daemon is cut off from it.
async fn probe(outage: outage::Outage, kv: platform::KvClient, route: Route) {
    loop {
        let members = u32::try_from(route.members()).unwrap_or(u32::MAX);
        let share = time::Duration::from_secs(1) * members / PROBES_PER_S;
        tokio::time::sleep(share.max(PROBE)).await;
        if outage.is_cut_off() {
            // The client keeps whether an answer came.
            let _ = kv.get(intents::Layout::KEY).await;
        }
    }
}

/// Runs a task that can end at any point.
async fn until_cancelled(token: tokio_sync::CancellationToken, task: impl Future<Output = ()>) {
    tokio::select! {
        () = token.cancelled() => {}
        () = task => {}
    }
}
