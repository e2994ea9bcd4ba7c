//! The queue of reports to the schedulers.

use std::{collections, sync};

use tokio::{
    sync::{mpsc, watch},
    time,
};
use trefoildyke_decide::schedule as decide;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::{
    endpoints,
    schedule::{Entry, RequestEvent, SchedulerCalls, SchedulerLost, Settings, local},
};

/// An event with its shard.
pub(super) struct ShardEvent {
    pub(super) shard: endpoints::Shard,
    pub(super) event: RequestEvent,
}

/// The scheduler of each shard that last received all running requests of this daemon.
///
/// Contains only shards with running requests.
pub(super) type Informed = collections::HashMap<endpoints::Shard, id::Incarnation>;

/// The reports that the scheduler of one shard has not received yet.
#[derive(Default)]
struct ShardQueue {
    /// The scheduler that received the last reports.
    scheduler: Option<id::Incarnation>,
    /// Whether that scheduler has received every report except the pending ones.
    synced: bool,
    /// The requests that this daemon dispatched or took over and that have not ended.
    running: collections::HashMap<id::RequestKey, decide::TakenOver>,
    /// The requests with tokens that were not reported yet.
    unreported: collections::HashSet<id::RequestKey>,
    pending: Vec<Entry>,
    /// The requests that each former scheduler counts as running here.
    ///
    /// A former scheduler that was frozen may become the scheduler again with its old state. Without
    /// reports on the requests that ended meanwhile, it would hold their slots forever.
    former: collections::BTreeMap<id::Incarnation, Vec<id::RequestKey>>,
}

/// The most former schedulers to remember; the oldest incarnations are dropped first.
const MAX_FORMER: usize = 4;

/// Collects events and sends them in batches; runs on the control thread.
pub(super) struct Outbox {
    pub(super) settings: Settings,
    pub(super) scheduler_calls: SchedulerCalls,
    pub(super) local: sync::Arc<local::LocalShards>,
    pub(super) events: mpsc::UnboundedReceiver<ShardEvent>,
    pub(super) informed: watch::Sender<Informed>,
}

impl Outbox {
    pub(super) async fn run(mut self) {
        let mut queues: collections::HashMap<endpoints::Shard, ShardQueue> =
            collections::HashMap::new();
        let mut view = self.scheduler_calls.view.clone();
        let mut progress = time::interval(self.settings.progress());
        progress.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                posted = self.events.recv() => match posted {
                    Some(posted) => self.collect(posted, &mut queues).await,
                    None => return,
                },
                Ok(()) = view.changed() => {}
                _ = progress.tick() => queues.values_mut().for_each(ShardQueue::add_progress),
            }
            for (shard, queue) in &mut queues {
                self.send(shard, queue).await;
                self.update_informed(shard, queue);
            }
            queues.retain(|_, queue| !queue.is_empty());
        }
    }

    fn update_informed(&self, shard: &endpoints::Shard, queue: &ShardQueue) {
        let has_running = !queue.running.is_empty();
        self.informed.send_if_modified(|informed| match queue.scheduler {
            Some(scheduler) if has_running && queue.synced => {
                informed.insert(shard.clone(), scheduler) != Some(scheduler)
            }
            Some(_) if has_running => false,
            _ => informed.remove(shard).is_some(),
        });
    }

    /// Queues an event and all events that follow within the batch time.
    async fn collect(
        &mut self,
        posted: ShardEvent,
        queues: &mut collections::HashMap<endpoints::Shard, ShardQueue>,
    ) {
        let end = time::Instant::now() + self.settings.batch();
        queues.entry(posted.shard).or_default().add_event(posted.event);
        while let Ok(Some(posted)) = time::timeout_at(end, self.events.recv()).await {
            queues.entry(posted.shard).or_default().add_event(posted.event);
        }
    }

    async fn send(&self, shard: &endpoints::Shard, queue: &mut ShardQueue) {
        let Some(scheduler) = self.scheduler_calls.scheduler(shard) else { return };
        queue.prepare_for(scheduler);
        if queue.pending.is_empty() {
            return;
        }
        let entries = std::mem::take(&mut queue.pending);
        let sent = if scheduler == self.scheduler_calls.own {
            self.local.report(shard, entries.clone())
        } else {
            self.send_to_peer(scheduler, shard, &entries).await
        };
        if sent.is_err() {
            queue.synced = false;
            queue.pending = entries.into_iter().filter(is_final).collect();
        }
    }

    async fn send_to_peer(
        &self,
        scheduler: id::Incarnation,
        shard: &endpoints::Shard,
        entries: &[Entry],
    ) -> Result<(), SchedulerLost> {
        let reports = peer::Payload::encode(&entries).map_err(|_| SchedulerLost)?;
        let shard_number = u32::from(shard.number);
        let request =
            peer::ReportRequest { pool: shard.pool.clone(), shard: shard_number, reports };
        (self.scheduler_calls.report)(scheduler, request, self.settings.report())
            .await
            .map_err(|_| SchedulerLost)
    }
}

impl ShardQueue {
    fn add_event(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::Started { ask, permit } => {
                let key = ask.key.clone();
                let taken_over = decide::TakenOver { ask, endpoint: permit.endpoint, tokens: 0 };
                self.running.insert(key.clone(), taken_over.clone());
                if self.scheduler.is_none() {
                    self.scheduler = Some(permit.scheduler);
                    self.synced = true;
                }
                if self.scheduler == Some(permit.scheduler) {
                    self.pending.push(Entry::Report(decide::Report::Started { key }));
                } else {
                    self.pending.push(Entry::Adopt(taken_over));
                }
            }
            RequestEvent::TakenOver { ask, endpoint } => {
                let taken_over = decide::TakenOver { ask, endpoint, tokens: 0 };
                self.running.insert(taken_over.ask.key.clone(), taken_over.clone());
                self.pending.push(Entry::Adopt(taken_over));
            }
            RequestEvent::Tokens { key, tokens } => self.add_tokens(key, tokens),
            RequestEvent::Finished { key, tokens, outcome } => {
                self.running.remove(&key);
                self.unreported.remove(&key);
                let report = decide::Report::Finished { key, tokens, outcome };
                self.pending.push(Entry::Report(report));
            }
            RequestEvent::HandBack { key } => {
                self.pending.push(Entry::Report(decide::Report::HandBack { key }));
            }
        }
    }

    fn add_tokens(&mut self, key: id::RequestKey, tokens: u32) {
        let Some(taken_over) = self.running.get_mut(&key) else { return };
        let first = taken_over.tokens == 0 && tokens > 0;
        taken_over.tokens = tokens;
        if first {
            let report = decide::Report::FirstToken { key: key.clone() };
            self.pending.push(Entry::Report(report));
        }
        self.unreported.insert(key);
    }

    fn add_progress(&mut self) {
        for key in std::mem::take(&mut self.unreported) {
            if let Some(taken_over) = self.running.get(&key) {
                let report = decide::Report::Progress { key, tokens: taken_over.tokens };
                self.pending.push(Entry::Report(report));
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.running.is_empty() && self.pending.is_empty() && self.former.is_empty()
    }

    /// Records the requests that the current scheduler counts as running, before another one replaces it.
    fn record_former(&mut self) {
        let ends = self.pending.drain(..).filter(is_final);
        let ended = ends.filter_map(|entry| match entry {
            Entry::Report(report) => Some(report.key().clone()),
            Entry::Adopt(_) => None,
        });
        let keys: Vec<_> = self.running.keys().cloned().chain(ended).collect();
        if let Some(scheduler) = self.scheduler.filter(|_| !keys.is_empty()) {
            self.former.insert(scheduler, keys);
        }
        while self.former.len() > MAX_FORMER {
            self.former.pop_first();
        }
    }

    /// Returns reports on the ended requests that a returning former scheduler counts as running.
    fn ended_reports(&mut self, scheduler: id::Incarnation) -> Vec<Entry> {
        let keys = self.former.remove(&scheduler).unwrap_or_default();
        let ended = keys.into_iter().filter(|key| !self.running.contains_key(key));
        let report =
            |key| decide::Report::Finished { key, tokens: 0, outcome: decide::Outcome::Cancelled };
        ended.map(|key| Entry::Report(report(key))).collect()
    }

    /// Prepares the pending entries for the scheduler.
    ///
    /// A scheduler that has missed reports is sent all running requests.
    fn prepare_for(&mut self, scheduler: id::Incarnation) {
        if self.scheduler != Some(scheduler) {
            self.record_former();
            self.scheduler = Some(scheduler);
            self.synced = false;
            self.pending = self.ended_reports(scheduler);
        }
        if !self.synced {
            self.pending.retain(is_final);
            self.pending.extend(self.running.values().cloned().map(Entry::Adopt));
            self.synced = true;
        }
    }
}

/// Returns whether the entry ends a request; such an entry must not be lost.
fn is_final(entry: &Entry) -> bool {
    let Entry::Report(report) = entry else { return false };
    matches!(report, decide::Report::Finished { .. } | decide::Report::HandBack { .. })
}
