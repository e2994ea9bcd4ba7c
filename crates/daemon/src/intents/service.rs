//! The intent service and its background tasks.

use std::{collections, sync, time};

use tokio::{sync::mpsc, sync::watch, task};
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::error;
use trefoildyke_wire::platform;

use crate::intents::{
    Handle, Route, Settings, Stats, agreement, availability, commit_queues, committer, forwarder,
    job, parts, sweep,
};

/// The minimum interval between two probes of a key-value service that does not answer.
const MIN_PROBE_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// The maximum number of probes per second that all daemons send together.
const MAX_PROBES_PER_S: u32 = 100;

/// The service before it runs.
pub struct Service {
    common: Common,
    forwarder: forwarder::Forwarder,
    commit_queues: watch::Sender<Option<sync::Arc<commit_queues::CommitQueues>>>,
}

/// The state that the service's tasks share.
struct Common {
    settings: Settings,
    route: Route,
    kv: platform::KvClient,
    stats: Stats,
    availability: availability::Availability,
}

/// Creates the service and its handle.
///
/// The timeout of a call to the key-value service is at most `try_ms`, because a started write is always
/// awaited.
///
/// # Errors
///
/// Fails with `Invalid` if a setting is out of range or the settings contradict each other.
pub fn create(
    settings: Settings,
    route: Route,
    kv: platform::KvClient,
) -> Result<(Handle, Service), error::Error> {
    settings.check()?;
    let kv = kv.at_most(settings.try_time());
    let (forward, queue) = mpsc::channel(settings.waiting);
    let (commit_queues, receiver) = watch::channel(None);
    let stats = Stats::default();
    let availability = availability::Availability::new(kv.clone());
    let handle = Handle {
        settings,
        route: route.clone(),
        availability: availability.clone(),
        stats: stats.clone(),
        commit_queues: receiver,
        forward,
    };
    let forwarder = forwarder::Forwarder {
        route: route.clone(),
        timeout: settings.try_time(),
        stats: stats.clone(),
        queue,
    };
    let common = Common { settings, route, kv, stats, availability };
    Ok((handle, Service { common, forwarder, commit_queues }))
}

impl Service {
    /// Runs until the token is cancelled and every task has ended.
    pub async fn run(self, token: tokio_sync::CancellationToken) {
        let Self { common, forwarder, commit_queues } = self;
        let mut tasks = task::JoinSet::new();
        tasks.spawn(until_cancelled(token.clone(), common.probe()));
        tasks.spawn(forwarder.run(token.clone()));
        let agreement = agreement::agree(&common.kv, common.settings.layout());
        if let Some(layout) = token.run_until_cancelled(agreement).await {
            tasks.spawn(until_cancelled(token.clone(), common.sweep(layout)));
            let senders = (0..layout.buckets).map(|_| {
                let (queue, committer) = common.committer(layout);
                tasks.spawn(committer.run(token.clone()));
                queue
            });
            let senders = senders.collect();
            commit_queues.send_replace(Some(sync::Arc::new(commit_queues::CommitQueues {
                layout,
                senders,
            })));
        }
        while tasks.join_next().await.is_some() {}
        commit_queues.send_replace(None);
    }
}

impl Common {
    fn probe(&self) -> impl Future<Output = ()> + use<> {
        probe(self.availability.clone(), self.kv.clone(), self.route.clone())
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

    fn committer(&self, layout: intents::Layout) -> (mpsc::Sender<job::Job>, committer::Committer) {
        let (sender, queue) = mpsc::channel(self.settings.waiting);
        let committer = committer::Committer {
            settings: self.settings,
            layout,
            part_store: parts::PartStore::new(self.kv.clone(), self.stats.clone()),
            stats: self.stats.clone(),
            queue,
            origin: time::Instant::now(),
            caches: collections::HashMap::new(),
        };
        (sender, committer)
    }
}

/// Probes the key-value service as long as it does not answer this daemon.
async fn probe(availability: availability::Availability, kv: platform::KvClient, route: Route) {
    loop {
        let members = u32::try_from(route.member_count()).unwrap_or(u32::MAX);
        let interval = time::Duration::from_secs(1) * members / MAX_PROBES_PER_S;
        tokio::time::sleep(interval.max(MIN_PROBE_INTERVAL)).await;
        if availability.is_disconnected() {
            // The client tracks in its health whether the service answered.
            let _ = kv.get(intents::Layout::KEY).await;
        }
    }
}

/// Runs a task that can be cancelled at any await point.
async fn until_cancelled(token: tokio_sync::CancellationToken, task: impl Future<Output = ()>) {
    token.run_until_cancelled(task).await;
}
