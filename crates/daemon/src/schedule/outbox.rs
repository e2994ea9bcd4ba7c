//! Reports on their way to the schedulers.

use std::{collections, sync};

use tokio::{sync::mpsc, time};
use trefoildyke_decide::schedule as decide;
use trefoildyke_types::id;
use trefoildyke_wire::peer;

use crate::{
    endpoints,
    schedule::{Entry, Links, Lost, Note, Settings, local},
};

/// A note and the shard that it concerns.
pub(super) struct Posted {
    pub(super) shard: endpoints::Shard,
    pub(super) note: Note,
}

/// What one shard's scheduler is still to be told.
#[derive(Default)]
struct Box {
    /// The scheduler that was reported to last.
    scheduler: Option<id::Incarnation>,
    /// Whether that scheduler has every report up to now but the pending ones.
    synced: bool,
    /// Everything dispatched here that has not ended.
    running: collections::HashMap<id::RequestKey, decide::Adopted>,
    /// Requests with tokens that were not reported yet.
    moved: collections::HashSet<id::RequestKey>,
    pending: Vec<Entry>,
    /// What each former scheduler believes to run here; it may become the scheduler again, after a
    /// freeze with all it knew, and would keep the places of what has ended for good.
    believed: collections::BTreeMap<id::Incarnation, Vec<id::RequestKey>>,
}

/// How many former schedulers are remembered; the oldest incarnations go first.
const FORMER: usize = 4;

/// Collects notes and sends them in batches; runs on the control thread.
pub(super) struct Outbox {
    pub(super) settings: Settings,
    pub(super) links: Links,
    pub(super) local: sync::Arc<local::Local>,
    pub(super) notes: mpsc::UnboundedReceiver<Posted>,
}

impl Outbox {
    pub(super) async fn run(mut self) {
        let mut boxes: collections::HashMap<endpoints::Shard, Box> = collections::HashMap::new();
        let mut view = self.links.view.clone();
        let mut progress = time::interval(self.settings.progress());
        progress.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                posted = self.notes.recv() => match posted {
                    Some(posted) => self.collect(posted, &mut boxes).await,
                    None => return,
                },
                Ok(()) = view.changed() => {}
                _ = progress.tick() => boxes.values_mut().for_each(Box::add_progress),
            }
            for (shard, notes) in &mut boxes {
                self.send(shard, notes).await;
            }
            boxes.retain(|_, notes| !notes.is_empty());
        }
    }

    /// Takes in a note and those that follow within the batch time.
    async fn collect(
        &mut self,
        posted: Posted,
        boxes: &mut collections::HashMap<endpoints::Shard, Box>,
    ) {
        let end = time::Instant::now() + self.settings.batch();
        boxes.entry(posted.shard).or_default().take_in(posted.note);
        while let Ok(Some(posted)) = time::timeout_at(end, self.notes.recv()).await {
            boxes.entry(posted.shard).or_default().take_in(posted.note);
        }
    }

    async fn send(&self, shard: &endpoints::Shard, notes: &mut Box) {
        let Some(scheduler) = self.links.scheduler(shard) else { return };
        notes.address(scheduler);
        if notes.pending.is_empty() {
            return;
        }
        let entries = std::mem::take(&mut notes.pending);
        let sent = if scheduler == self.links.own {
            self.local.report(shard, entries.clone())
        } else {
            self.send_to_peer(scheduler, shard, &entries).await
        };
        if sent.is_err() {
            notes.synced = false;
            notes.pending = entries.into_iter().filter(is_end).collect();
        }
    }

    async fn send_to_peer(
        &self,
        scheduler: id::Incarnation,
        shard: &endpoints::Shard,
        entries: &[Entry],
    ) -> Result<(), Lost> {
        let reports = peer::Payload::encode(&entries).map_err(|_| Lost)?;
        let shard_number = u32::from(shard.number);
        let request =
            peer::ReportRequest { pool: shard.pool.clone(), shard: shard_number, reports };
        (self.links.report)(scheduler, request, self.settings.report()).await.map_err(|_| Lost)
    }
}

impl Box {
    fn take_in(&mut self, note: Note) {
        match note {
            Note::Started { ask, permit } => {
                let key = ask.key.clone();
                let adopted = decide::Adopted { ask, endpoint: permit.endpoint, tokens: 0 };
                self.running.insert(key.clone(), adopted.clone());
                if self.scheduler.is_none() {
                    self.scheduler = Some(permit.scheduler);
                    self.synced = true;
                }
                if self.scheduler == Some(permit.scheduler) {
                    self.pending.push(Entry::Report(decide::Report::Started { key }));
                } else {
                    self.pending.push(Entry::Adopt(adopted));
                }
            }
            Note::TakenOver { ask, endpoint } => {
                let adopted = decide::Adopted { ask, endpoint, tokens: 0 };
                self.running.insert(adopted.ask.key.clone(), adopted.clone());
                self.pending.push(Entry::Adopt(adopted));
            }
            Note::Tokens { key, tokens } => self.tokens(key, tokens),
            Note::Finished { key, tokens, outcome } => {
                self.running.remove(&key);
                self.moved.remove(&key);
                let report = decide::Report::Finished { key, tokens, outcome };
                self.pending.push(Entry::Report(report));
            }
            Note::HandBack { key } => {
                self.pending.push(Entry::Report(decide::Report::HandBack { key }));
            }
        }
    }

    fn tokens(&mut self, key: id::RequestKey, tokens: u32) {
        let Some(adopted) = self.running.get_mut(&key) else { return };
        let first = adopted.tokens == 0 && tokens > 0;
        adopted.tokens = tokens;
        if first {
            let report = decide::Report::FirstToken { key: key.clone() };
            self.pending.push(Entry::Report(report));
        }
        self.moved.insert(key);
    }

    fn add_progress(&mut self) {
        for key in std::mem::take(&mut self.moved) {
            if let Some(adopted) = self.running.get(&key) {
                let report = decide::Report::Progress { key, tokens: adopted.tokens };
                self.pending.push(Entry::Report(report));
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.running.is_empty() && self.pending.is_empty() && self.believed.is_empty()
    }

    /// Remembers what the present scheduler believes; the next one knows nothing of it.
    fn leave(&mut self) {
        let ends = self.pending.drain(..).filter(is_end);
        let ended = ends.filter_map(|entry| match entry {
            Entry::Report(report) => Some(report.key().clone()),
            Entry::Adopt(_) => None,
        });
        let keys: Vec<_> = self.running.keys().cloned().chain(ended).collect();
        if let Some(former) = self.scheduler.filter(|_| !keys.is_empty()) {
            self.believed.insert(former, keys);
        }
        while self.believed.len() > FORMER {
            self.believed.pop_first();
        }
    }

    /// Returns the ends of what a former scheduler, which is asked again, believes to run.
    fn ended_meanwhile(&mut self, scheduler: id::Incarnation) -> Vec<Entry> {
        let keys = self.believed.remove(&scheduler).unwrap_or_default();
        let ended = keys.into_iter().filter(|key| !self.running.contains_key(key));
        let report =
            |key| decide::Report::Finished { key, tokens: 0, outcome: decide::Outcome::Cancelled };
        ended.map(|key| Entry::Report(report(key))).collect()
    }

    /// Prepares the pending entries for the scheduler; one that lacks reports learns of all that
    /// runs.
    fn address(&mut self, scheduler: id::Incarnation) {
        if self.scheduler != Some(scheduler) {
            self.leave();
            self.scheduler = Some(scheduler);
            self.synced = false;
            self.pending = self.ended_meanwhile(scheduler);
        }
        if !self.synced {
            self.pending.retain(is_end);
            self.pending.extend(self.running.values().cloned().map(Entry::Adopt));
            self.synced = true;
        }
    }
}

/// Returns whether the entry must not be lost.
fn is_end(entry: &Entry) -> bool {
    let Entry::Report(report) = entry else { return false };
    matches!(report, decide::Report::Finished { .. } | decide::Report::HandBack { .. })
}
