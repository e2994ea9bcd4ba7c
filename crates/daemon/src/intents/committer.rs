//! Commits the records of one bucket, one batch after the other.

use std::{collections, time};

use tokio::sync::mpsc;
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::intents;
use trefoildyke_types::time::Timestamp;

use crate::intents::{Settings, Stats, driver, parts, waiting};

/// How long the ledger of a slot is kept that gets no records.
const KEEP_LEDGER: time::Duration = time::Duration::from_secs(90);

/// Commits the records of one bucket.
pub(super) struct Committer {
    pub(super) settings: Settings,
    pub(super) layout: intents::Layout,
    pub(super) parts: parts::Parts,
    pub(super) stats: Stats,
    pub(super) queue: mpsc::Receiver<waiting::Waiting>,
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

    async fn gather(
        &mut self,
        first: waiting::Waiting,
        last: Option<Timestamp>,
    ) -> Vec<waiting::Waiting> {
        let arrived = self.timestamp(first.arrived);
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

    async fn commit(&mut self, batch: Vec<waiting::Waiting>) {
        self.stats.batch(batch.len());
        let until = time::Instant::now() + self.settings.try_time();
        let mut slots: collections::BTreeMap<_, Vec<_>> = collections::BTreeMap::new();
        for waiting in batch {
            slots.entry(self.layout.slot(&waiting.row.key)).or_default().push(waiting);
        }
        let commits: Vec<_> = slots
            .into_iter()
            .map(|(slot, waiting)| {
                let ledger = self.ledgers.remove(&slot).map(|(ledger, _)| ledger);
                self.commit_slot(slot, ledger.unwrap_or_default(), waiting, until)
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
        waiting: Vec<waiting::Waiting>,
        until: time::Instant,
    ) -> impl Future<Output = (intents::Slot, intents::Ledger)> + use<> {
        let rows = waiting.iter().map(|waiting| waiting.row.clone()).collect();
        let retention = self.layout.retention;
        let commit = intents::Commit::new(ledger, retention, self.settings.part_bytes, rows);
        let parts = self.parts.clone();
        async move {
            let (ledger, outcomes) = driver::drive(&parts, &slot, commit, until).await;
            for (waiting, outcome) in waiting.into_iter().zip(outcomes) {
                waiting.answer(outcome);
            }
            (slot, ledger)
        }
    }

    fn timestamp(&self, at: time::Instant) -> Timestamp {
        Timestamp::ZERO + at.saturating_duration_since(self.origin)
    }
}
