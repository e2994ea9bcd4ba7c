//! Requests that end the endpoints they run on.
//!
//! Engines end now and then, and whatever ran there is cut off. A request that ends each endpoint which begins to run it can be
//! told from the others only over several ends, and these show at different daemons, since it comes again under a
//! new id and reaches any of them. So daemons tell each other of the ends, and what counts here is the union of all that is
//! known: an end is named by the request and the start of the endpoint, is counted once whoever saw it, and once refuted stays so.

mod params;
mod suspect;
mod tell;

use std::{cmp, collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway;

pub use params::QuarantineParams;

/// Follows the requests under which endpoints have ended, and says which are sent nowhere any more.
#[derive(Clone, Debug)]
pub struct Quarantine {
    params: QuarantineParams,
    suspects: collections::BTreeMap<gateway::Fingerprint, suspect::Suspect>,
    /// The requests that are sent nowhere; follows from `suspects`.
    held: collections::BTreeSet<gateway::Fingerprint>,
    /// Stands for what is shared; follows from `suspects`.
    mark: u64,
}

/// What came of a change for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is sent nowhere any more.
    Held {
        /// The request.
        fingerprint: gateway::Fingerprint,
        /// How many endpoints ended under it.
        ends: usize,
    },
    /// It may be sent again.
    Released(gateway::Fingerprint),
}

/// How many ends are remembered, in some 200 KB.
const MOST: usize = 1_024;

impl Quarantine {
    /// Starts with no end known.
    pub const fn new(params: QuarantineParams) -> Self {
        let suspects = collections::BTreeMap::new();
        Self { params, suspects, held: collections::BTreeSet::new(), mark: 0 }
    }

    /// Notes that an endpoint ended under a request of this daemon, and returns what is to be told.
    pub fn ended(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        grant: &gateway::Grant,
    ) -> (gateway::Crash, Vec<QuarantineChange>) {
        let (endpoint, start) = (grant.endpoint.clone(), grant.start);
        let crash = gateway::Crash { fingerprint, endpoint, start, age_ms: 0, refuted: false };
        self.insert(now, &crash, true);
        (crash, self.weigh(now))
    }

    /// Takes in what another daemon has told.
    pub fn learn(&mut self, now: Timestamp, crashes: &[gateway::Crash]) -> Vec<QuarantineChange> {
        for crash in crashes {
            self.insert(now, crash, false);
        }
        self.weigh(now)
    }

    fn insert(&mut self, now: Timestamp, crash: &gateway::Crash, own: bool) {
        let age = time::Duration::from_millis(u64::from(crash.age_ms));
        let left = self.params.kept.saturating_sub(age);
        if left.is_zero() {
            return;
        }
        let suspect = self.suspects.entry(crash.fingerprint).or_default();
        let start = (crash.endpoint.clone(), crash.start);
        let new = suspect::End { until: now + left, refuted: false, own };
        let end = suspect.ends.entry(start).or_insert(new);
        end.refuted |= crash.refuted;
        end.own |= own;
    }

    /// Notes that an endpoint has run a request to its end, which it could not if the request ended endpoints; says whether
    /// that refutes anything, and what follows.
    pub fn survived(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
    ) -> Option<Vec<QuarantineChange>> {
        self.refute(now, fingerprint, |_, _| true)
    }

    /// Refutes the ends of endpoints that are listed for too long after it: they have lost a connection only.
    ///
    /// `outlived` says whether the start of an endpoint was still listed a time after a moment.
    pub fn compare(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        outlived: impl Fn(&suspect::Start, Timestamp, time::Duration) -> bool,
    ) -> Option<Vec<QuarantineChange>> {
        let QuarantineParams { kept, lapse, .. } = self.params;
        self.refute(now, fingerprint, |start, end| {
            let age = end.age(now, kept);
            let at = now.as_micros().saturating_sub(age.as_micros() as u64);
            age >= lapse && outlived(start, Timestamp::from_micros(at), lapse)
        })
    }

    fn refute(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        is_refuted: impl Fn(&suspect::Start, &suspect::End) -> bool,
    ) -> Option<Vec<QuarantineChange>> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        let mut found = false;
        for (start, end) in &mut suspect.ends {
            if !end.refuted && is_refuted(start, end) {
                end.refuted = true;
                found = true;
            }
        }
        found.then(|| self.weigh(now))
    }

    /// Says whether a request is sent nowhere, and when its caller should come back: when that may be over.
    pub fn held(
        &self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
    ) -> Option<time::Duration> {
        if !self.held.contains(&fingerprint) {
            return None;
        }
        let ends = self.suspects.get(&fingerprint)?.counted(now);
        let latest = ends.iter().map(|until| until.since(now)).max()?;
        let age = self.params.kept.saturating_sub(latest);
        if age < self.params.lapse {
            // The list may still show that the endpoints live.
            return Some(self.params.lapse - age);
        }
        let mut left: Vec<_> = ends.iter().map(|until| until.since(now)).collect();
        left.sort_unstable();
        let first = left.len().checked_sub(self.params.ends)?;
        left.get(first).copied()
    }

    /// Returns under how many endpoints' ends a request was, as far as is known.
    pub fn ends(&self, now: Timestamp, fingerprint: gateway::Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.counted(now).len())
    }

    /// Returns a number that is the same for daemons that know the same.
    pub const fn mark(&self) -> u64 {
        self.mark
    }

    /// Forgets what counts no more, and works out what follows from the rest.
    fn weigh(&mut self, now: Timestamp) -> Vec<QuarantineChange> {
        self.forget(now);
        let held = self.causes(now);
        self.mark = self.work_out_mark();
        let before = std::mem::replace(&mut self.held, held);
        let new = self.held.difference(&before).map(|fingerprint| QuarantineChange::Held {
            fingerprint: *fingerprint,
            ends: self.ends(now, *fingerprint),
        });
        let gone = before.difference(&self.held).copied().map(QuarantineChange::Released);
        new.chain(gone).collect()
    }

    /// Finds the requests that end endpoints, without those that only ran beside them: an end does not count for a request if
    /// another one explains it, under which more endpoints have ended.
    fn causes(&self, now: Timestamp) -> collections::BTreeSet<gateway::Fingerprint> {
        let counted = self.suspects.iter().map(|(fingerprint, suspect)| {
            let ends = suspect.ends.iter().filter(|(_, end)| end.counts(now));
            (*fingerprint, ends.map(|(start, _)| start).collect::<Vec<_>>())
        });
        let mut counted: Vec<_> =
            counted.filter(|(_, ends)| ends.len() >= self.params.ends).collect();
        counted.sort_by_key(|(_, ends)| cmp::Reverse(ends.len()));
        let mut explained = collections::BTreeSet::new();
        let mut causes = collections::BTreeSet::new();
        for (fingerprint, ends) in counted {
            let open = ends.iter().filter(|start| !explained.contains(*start)).count();
            if open >= self.params.ends {
                causes.insert(fingerprint);
                explained.extend(ends);
            }
        }
        causes
    }

    fn forget(&mut self, now: Timestamp) {
        for suspect in self.suspects.values_mut() {
            suspect.ends.retain(|_, end| now < end.until);
        }
        self.suspects.retain(|_, suspect| !suspect.ends.is_empty());
        while self.suspects.values().map(|suspect| suspect.ends.len()).sum::<usize>() > MOST {
            let known = self.suspects.iter().filter(|(found, _)| !self.held.contains(found));
            let oldest = known.min_by_key(|(_, suspect)| suspect.latest()).map(|(found, _)| *found);
            let Some(oldest) = oldest.or_else(|| self.suspects.keys().next().copied()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
