//! The committer, which writes and looks up the records of one bucket in consecutive batches.

use std::{collections, time};

use tokio::sync::mpsc;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::time::Timestamp;

use crate::intents::{Settings, Stats, driver, job, parts};

/// How long the cache of a slot is kept without a record to write or look up.
const CACHE_IDLE_LIMIT: time::Duration = time::Duration::from_secs(90);

/// The task that writes and looks up the records of one bucket.
pub(super) struct Committer {
    pub(super) settings: Settings,
    pub(super) layout: intents::Layout,
    pub(super) part_store: parts::PartStore,
    pub(super) stats: Stats,
    pub(super) queue: mpsc::Receiver<job::Job>,
    /// The instant that corresponds to timestamp zero in this bucket.
    pub(super) origin: time::Instant,
    /// The cache of each slot, and when it was last used.
    pub(super) caches: collections::HashMap<intents::Slot, (intents::SlotCache, time::Instant)>,
}

impl Committer {
    /// Commits batches until the token is cancelled.
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
            let batch = self.collect_batch(first, last).await;
            last = Some(self.timestamp(time::Instant::now()));
            self.commit(batch).await;
        }
    }

    /// Waits until the next commit may start, and returns all jobs that are queued by then.
    async fn collect_batch(&mut self, first: job::Job, last: Option<Timestamp>) -> Vec<job::Job> {
        let arrived = self.timestamp(first.arrived());
        let start = intents::next_commit(arrived, last, self.settings.window());
        let delay = start.since(self.timestamp(time::Instant::now()));
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let mut batch = vec![first];
        while let Ok(next) = self.queue.try_recv() {
            batch.push(next);
        }
        batch
    }

    async fn commit(&mut self, batch: Vec<job::Job>) {
        let records = batch.iter().filter(|job| matches!(job, job::Job::Record(_))).count();
        self.stats.count_batch(records);
        let deadline = time::Instant::now() + self.settings.try_time();
        let mut slots: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for job in batch {
            slots.entry(self.layout.slot(job.key())).or_default().push(job);
        }
        let commits: Vec<_> = slots
            .into_iter()
            .map(|(slot, jobs)| {
                let cache = self.caches.remove(&slot).map(|(cache, _)| cache);
                self.commit_slot(slot, cache.unwrap_or_default(), jobs, deadline)
            })
            .collect();
        let ended = futures::future::join_all(commits).await;
        let now = time::Instant::now();
        self.caches.retain(|_, (_, last_used)| now.duration_since(*last_used) < CACHE_IDLE_LIMIT);
        self.caches.extend(ended.into_iter().map(|(slot, cache)| (slot, (cache, now))));
    }

    fn commit_slot(
        &self,
        slot: intents::Slot,
        cache: intents::SlotCache,
        jobs: Vec<job::Job>,
        deadline: time::Instant,
    ) -> impl Future<Output = (intents::Slot, intents::SlotCache)> + use<> {
        let (records, look_ups) = answer_known(jobs, &cache);
        let rows = records.iter().map(|pending| pending.row.clone()).collect();
        let retention = self.layout.retention;
        let mut commit = intents::Commit::new(cache, retention, self.settings.part_bytes, rows);
        if !look_ups.is_empty() {
            commit = commit.with_fresh_read();
        }
        let part_store = self.part_store.clone();
        async move {
            let result = driver::drive(&part_store, &slot, commit, deadline).await;
            for (pending, outcome) in records.into_iter().zip(result.outcomes) {
                pending.answer(outcome);
            }
            for pending in look_ups {
                let found = result.cache.find(&pending.key).cloned();
                // Only a read proves that a record is absent. Dropping the sender reports a failed look-up.
                if found.is_some() || result.is_read_done {
                    pending.answer(found);
                }
            }
            (slot, result.cache)
        }
    }

    fn timestamp(&self, at: time::Instant) -> Timestamp {
        Timestamp::ZERO + at.saturating_duration_since(self.origin)
    }
}

/// Answers the look-ups whose record is in the cache; returns the records and the other look-ups.
fn answer_known(
    jobs: Vec<job::Job>,
    cache: &intents::SlotCache,
) -> (Vec<job::PendingRecord>, Vec<job::PendingLookUp>) {
    let (mut records, mut look_ups) = (Vec::new(), Vec::new());
    for job in jobs {
        match job {
            job::Job::Record(pending) => records.push(pending),
            job::Job::LookUp(pending) => match cache.find(&pending.key).cloned() {
                Some(found) => pending.answer(Some(found)),
                None => look_ups.push(pending),
            },
        }
    }
    (records, look_ups)
}
