//! The service's tasks.

use std::{collections, sync, time};

use tokio::{sync::mpsc, sync::watch, task};
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::platform;

use crate::intents::{
    Handle, Route, Settings, Stats, agreement, committer, forwarder, outage, parts, ready, sweep,
    waiting,
};

/// How often a daemon that is cut off asks whether the service answers again, at least.
const PROBE: time::Duration = time::Duration::from_millis(500);

/// How many daemons ask in a second, together and at most.
const PROBES_PER_S: u32 = 100;

/// Holds the service until it runs.
pub struct Service {
    common: Common,
    forwarder: forwarder::Forwarder,
    ready: watch::Sender<Option<sync::Arc<ready::Ready>>>,
}

/// What the service's tasks share.
struct Common {
    settings: Settings,
    route: Route,
    kv: platform::KvClient,
    stats: Stats,
    outage: outage::Outage,
}

/// Creates the service and its handle.
///
/// A call of the service takes at most `try_ms`, because a write that was begun is waited for.
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
    let kv = kv.at_most(settings.try_time());
    let (forward, queue) = mpsc::channel(settings.waiting);
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
    let forwarder = forwarder::Forwarder {
        route: route.clone(),
        timeout: settings.try_time(),
        stats: stats.clone(),
        queue,
    };
    let common = Common { settings, route, kv, stats, outage };
    Ok((handle, Service { common, forwarder, ready }))
}

impl Service {
    /// Runs until the token is cancelled, and joins every task.
    pub async fn run(self, token: tokio_sync::CancellationToken) {
        let Self { common, forwarder, ready } = self;
        let mut tasks = task::JoinSet::new();
        tasks.spawn(until_cancelled(token.clone(), common.probe()));
        tasks.spawn(forwarder.run(token.clone()));
        let agreed = agreement::agree(&common.kv, common.settings.layout());
        if let Some(layout) = token.run_until_cancelled(agreed).await {
            tasks.spawn(until_cancelled(token.clone(), common.sweep(layout)));
            let queues = (0..layout.buckets).map(|_| {
                let (queue, committer) = common.committer(layout);
                tasks.spawn(committer.run(token.clone()));
                queue
            });
            let queues = queues.collect();
            ready.send_replace(Some(sync::Arc::new(ready::Ready { layout, queues })));
        }
        while tasks.join_next().await.is_some() {}
        ready.send_replace(None);
    }
}

impl Common {
    fn probe(&self) -> impl Future<Output = ()> + use<> {
        probe(self.outage.clone(), self.kv.clone(), self.route.clone())
    }

    fn sweep(&self, layout: intents::Layout) -> impl Future<Output = ()> + use<> {
        let sweep = sweep::Sweep {
            layout,
            route: self.route.clone(),
            kv: self.kv.clone(),
            stats: self.stats.clone(),
        };
        sweep.run()
    }

    fn committer(
        &self,
        layout: intents::Layout,
    ) -> (mpsc::Sender<waiting::Job>, committer::Committer) {
        let (sender, queue) = mpsc::channel(self.settings.waiting);
        let committer = committer::Committer {
            settings: self.settings,
            layout,
            parts: parts::Parts::new(self.kv.clone(), self.stats.clone()),
            stats: self.stats.clone(),
            queue,
            origin: time::Instant::now(),
            ledgers: collections::HashMap::new(),
        };
        (sender, committer)
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
    token.run_until_cancelled(task).await;
}
