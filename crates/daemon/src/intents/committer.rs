//! Writes and looks up the records of one bucket, one batch after the other.

use std::{collections, time};

use tokio::sync::mpsc;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::time::Timestamp;

use crate::intents::{Settings, Stats, driver, parts, waiting};

/// How long the ledger of a slot is kept that gets no records.
const KEEP_LEDGER: time::Duration = time::Duration::from_secs(90);

/// Writes and looks up the records of one bucket.
pub(super) struct Committer {
    pub(super) settings: Settings,
    pub(super) layout: intents::Layout,
    pub(super) parts: parts::Parts,
    pub(super) stats: Stats,
    pub(super) queue: mpsc::Receiver<waiting::Job>,
    /// The origin of this bucket's timestamps.
    pub(super) origin: time::Instant,
    /// What is known of the slots, and when each was last used.
    pub(super) ledgers: collections::HashMap<intents::Slot, (intents::Ledger, time::Instant)>,
}

impl Committer {
    /// Commits until the token is cancelled.
    pub(super) async fn run(mut self, token: tokio_sync::CancellationToken) {
        let mut last = None;
        loop {
            let first = tokio::select! {
                () = token.cancelled() => return,
                first = self.queue.recv() => match first {
                    Some(first) => first,
                    None => return,
                },
            };
            let batch = self.gather(first, last).await;
            last = Some(self.timestamp(time::Instant::now()));
            self.commit(batch).await;
        }
    }

    async fn gather(&mut self, first: waiting::Job, last: Option<Timestamp>) -> Vec<waiting::Job> {
        let arrived = self.timestamp(first.arrived());
        let start = intents::commit_at(arrived, last, self.settings.window());
        let pause = start.since(self.timestamp(time::Instant::now()));
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        let mut batch = vec![first];
        while let Ok(next) = self.queue.try_recv() {
            batch.push(next);
        }
        batch
    }

    async fn commit(&mut self, batch: Vec<waiting::Job>) {
        let records = batch.iter().filter(|job| matches!(job, waiting::Job::Record(_))).count();
        self.stats.batch(records);
        let until = time::Instant::now() + self.settings.try_time();
        let mut slots: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for job in batch {
            slots.entry(self.layout.slot(job.key())).or_default().push(job);
        }
        let commits: Vec<_> = slots
            .into_iter()
            .map(|(slot, jobs)| {
                let ledger = self.ledgers.remove(&slot).map(|(ledger, _)| ledger);
                self.commit_slot(slot, ledger.unwrap_or_default(), jobs, until)
            })
            .collect();
        let ended = futures::future::join_all(commits).await;
        let now = time::Instant::now();
        self.ledgers.retain(|_, (_, used)| now.duration_since(*used) < KEEP_LEDGER);
        self.ledgers.extend(ended.into_iter().map(|(slot, ledger)| (slot, (ledger, now))));
    }

    fn commit_slot(
        &self,
        slot: intents::Slot,
        ledger: intents::Ledger,
        jobs: Vec<waiting::Job>,
        until: time::Instant,
    ) -> impl Future<Output = (intents::Slot, intents::Ledger)> + use<> {
        let (records, unknown) = sort(jobs, &ledger);
        let rows = records.iter().map(|waiting| waiting.row.clone()).collect();
        let retention = self.layout.retention;
        let mut commit = intents::Commit::new(ledger, retention, self.settings.part_bytes, rows);
        if !unknown.is_empty() {
            commit = commit.read_first();
        }
        let parts = self.parts.clone();
        async move {
            let driven = driver::drive(&parts, &slot, commit, until).await;
            for (waiting, outcome) in records.into_iter().zip(driven.outcomes) {
                waiting.answer(outcome);
            }
            for looking in unknown {
                let found = driven.ledger.find(&looking.key).cloned();
                // Without the read, absence is not known; dropping the answer says so.
                if found.is_some() || driven.has_read {
                    looking.answer(found);
                }
            }
            (slot, driven.ledger)
        }
    }

    fn timestamp(&self, at: time::Instant) -> Timestamp {
        Timestamp::ZERO + at.saturating_duration_since(self.origin)
    }
}

/// Answers what the ledger knows, and returns the records to write and what is left to look up.
fn sort(
    jobs: Vec<waiting::Job>,
    ledger: &intents::Ledger,
) -> (Vec<waiting::Waiting>, Vec<waiting::Looking>) {
    let (mut records, mut unknown) = (Vec::new(), Vec::new());
    for job in jobs {
        match job {
            waiting::Job::Record(waiting) => records.push(waiting),
            waiting::Job::LookUp(looking) => match ledger.find(&looking.key).cloned() {
                Some(found) => looking.answer(Some(found)),
                None => unknown.push(looking),
            },
        }
    }
    (records, unknown)
}
