//! Which ranks a pool's requests have.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

/// Remembers the ranks of late.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranks {
    seen: collections::BTreeMap<u8, Timestamp>,
}

/// For how long a rank of which nothing comes is remembered.
const MEMORY: time::Duration = time::Duration::from_secs(5);

impl Ranks {
    pub(super) fn note(&mut self, now: Timestamp, rank: u8) {
        self.seen.insert(rank, now);
    }

    /// Says whether `rank` is the last of several.
    pub(super) fn is_last(&self, now: Timestamp, rank: u8) -> bool {
        let mut recent = self.seen.iter().filter(|(_, seen)| now.since(**seen) < MEMORY);
        let others = recent.clone().any(|(other, _)| *other < rank);
        others && recent.all(|(other, _)| *other <= rank)
    }
}
