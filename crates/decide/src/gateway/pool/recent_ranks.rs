//! The ranks of a pool's requests.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

/// The ranks that requests had recently.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentRanks {
    last_seen: collections::BTreeMap<u8, Timestamp>,
}

/// How long a rank is remembered after its last request.
const RETENTION: time::Duration = time::Duration::from_secs(5);

impl RecentRanks {
    pub(super) fn record(&mut self, now: Timestamp, rank: u8) {
        self.last_seen.insert(rank, now);
    }

    /// Returns whether `rank` is the last of several recent ranks.
    pub(super) fn is_last(&self, now: Timestamp, rank: u8) -> bool {
        let mut recent =
            self.last_seen.iter().filter(|(_, last_seen)| now.since(**last_seen) < RETENTION);
        let others = recent.clone().any(|(other, _)| *other < rank);
        others && recent.all(|(other, _)| *other <= rank)
    }
}
