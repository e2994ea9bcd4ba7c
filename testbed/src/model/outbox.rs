//! Cache events on their way out, late and with gaps.

use std::{collections, time};

use trefoildyke_types::{engine, time::Timestamp};

/// How many microseconds of changes one publication gathers.
const PUBLISH_US: u64 = 100_000;

/// Holds cache events until they are published.
#[derive(Clone, Debug)]
pub(super) struct Outbox {
    lag: time::Duration,
    loss: u32,
    seed: u64,
    seq: u64,
    /// In the order of the publication times.
    queue: collections::VecDeque<(Timestamp, engine::CacheEvent)>,
}

impl Outbox {
    pub(super) fn new(lag: time::Duration, loss: u32, seed: u64) -> Self {
        Self { lag, loss, seed, seq: 0, queue: collections::VecDeque::new() }
    }

    pub(super) fn push(&mut self, now: Timestamp, kind: engine::CacheEventKind, block: u64) {
        self.seq += 1;
        if self.is_lost(self.seq) {
            return;
        }
        let event = engine::CacheEvent { seq: self.seq, kind, block };
        self.queue.push_back((self.publication(now), event));
    }

    pub(super) fn next_time(&self) -> Option<Timestamp> {
        self.queue.front().map(|(at, _)| *at)
    }

    pub(super) fn pop_due(&mut self, now: Timestamp) -> Option<(Timestamp, engine::CacheEvent)> {
        let due = self.next_time()? <= now;
        if due { self.queue.pop_front() } else { None }
    }

    fn publication(&self, now: Timestamp) -> Timestamp {
        let due = (now + self.lag).as_micros();
        Timestamp::from_micros(due.next_multiple_of(PUBLISH_US))
    }

    fn is_lost(&self, seq: u64) -> bool {
        if self.loss == 0 {
            return false;
        }
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&seq.to_le_bytes(), self.seed);
        hash.is_multiple_of(u64::from(self.loss))
    }
}
