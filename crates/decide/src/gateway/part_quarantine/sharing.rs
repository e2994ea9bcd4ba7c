//! The exchange of known crashes and quarantined parts between daemons.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway::{
    self, PartQuarantine,
    part_quarantine::{causes, moment, moment::Moment, record},
};

/// The number of endpoints that crashed under a part from which all daemons are told, so that they
/// report requests with the part that are answered.
const MIN_SHARED: usize = 2;

/// The number of crashes that are shared for one part.
const MAX_BY_PART: usize = 8;

/// The maximum number of quarantined parts in one message.
const MAX_QUARANTINED: usize = 32;

/// The maximum number of crashes in one message: at up to 200 bytes each, they fit in one datagram.
const MAX_REPORTED: usize = 48;

impl PartQuarantine {
    /// Returns a hash of the shared crashes and the quarantined parts, the same for daemons that know
    /// the same.
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns a hash of the quarantined parts; 0 if there are none.
    pub fn quarantined_hash(&self, now: Timestamp) -> u64 {
        self.quarantined_sets(now).iter().fold(0, |sum, parts| sum ^ hash_parts(parts))
    }

    /// Returns the number of decisions that hold for longer than a trial.
    pub fn lasting_count(&self, now: Timestamp) -> usize {
        let trial_end = Moment::from(now).after(self.params.trial_time);
        self.decided.iter().filter(|quarantined| quarantined.until > trial_end).count()
    }

    /// Returns the crashes that all daemons should know.
    pub fn shared(&self, now: Timestamp) -> Vec<gateway::PartCrash> {
        let known = self.shared.iter().filter_map(|key| Some((key, self.crashes.get(key)?)));
        known.map(|(key, record)| record.report(now.into(), key)).collect()
    }

    /// Returns what this daemon has decided.
    pub fn decided(&self, now: Timestamp) -> Vec<gateway::QuarantinedParts> {
        let now = Moment::from(now);
        let decided = self.decided.iter().filter(|quarantined| now < quarantined.until);
        let report = |quarantined: &super::Quarantined| gateway::QuarantinedParts {
            parts: quarantined.parts.iter().copied().collect(),
            left_ms: moment::millis(now.until(quarantined.until)),
        };
        decided.take(MAX_QUARANTINED).map(report).collect()
    }

    /// Returns the crashes that this daemon saw in the last `age`.
    pub fn own_crashes(&self, now: Timestamp, age: time::Duration) -> Vec<gateway::PartCrash> {
        let now = Moment::from(now);
        let own = self.crashes.iter().filter(|(_, record)| record.own && record.age(now) < age);
        own.take(MAX_REPORTED).map(|(key, record)| record.report(now, key)).collect()
    }

    /// Selects the crashes to be shared: some for each part that may crash endpoints.
    pub(super) fn share(&mut self, now: Timestamp) {
        let mut shared = collections::BTreeSet::new();
        for (_, crashes) in causes::by_part(self.crashes.iter()) {
            if causes::start_count(&crashes) < MIN_SHARED {
                break;
            }
            let mut starts = collections::BTreeSet::new();
            let one_by_start = crashes.iter().filter(|((start, _), _)| starts.insert(start));
            for (key, _) in one_by_start.take(MAX_BY_PART) {
                if shared.len() < MAX_REPORTED {
                    shared.insert((*key).clone());
                }
            }
        }
        let crashes = shared.iter().fold(0, |sum, key| sum ^ hash_key(key));
        self.shared = shared.into_iter().collect();
        self.hash = crashes ^ self.quarantined_hash(now);
    }
}

fn hash_key(((endpoint, start), request): &record::CrashKey) -> u64 {
    let seed = request.as_u64() ^ start.rotate_left(1);
    xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), seed)
}

fn hash_parts(parts: &[gateway::PartKey]) -> u64 {
    parts.iter().fold(1, |hash, part| {
        xxhash_rust::xxh3::xxh3_64_with_seed(&part.as_u64().to_le_bytes(), hash)
    })
}
