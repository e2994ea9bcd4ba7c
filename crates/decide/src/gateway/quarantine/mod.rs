//! Detection of requests that crash endpoints.
//!
//! Engines crash now and then, which interrupts all requests that run there. A request that crashes
//! every endpoint that starts to run it can be distinguished from the others only over several
//! crashes. Different daemons observe these crashes, since the request is repeated under a new id
//! and reaches any daemon. Daemons therefore exchange the crashes that they know of, and decide by
//! the union of all known crashes. A crash is identified by the request and the start of the
//! endpoint, is counted once regardless of how many daemons saw it, and once refuted stays refuted.

mod params;
mod sharing;
mod suspect;

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway;

pub use params::QuarantineParams;

/// Tracks the requests during which endpoints have crashed, and the requests that are quarantined,
/// that is, no longer sent to any endpoint.
#[derive(Clone, Debug)]
pub struct Quarantine {
    params: QuarantineParams,
    suspects: collections::BTreeMap<gateway::Fingerprint, suspect::Suspect>,
    /// The quarantined requests; derived from `suspects`.
    quarantined: collections::BTreeSet<gateway::Fingerprint>,
    /// The hash of the shared crashes; derived from `suspects`.
    hash: u64,
}

/// The effect of a change on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request is no longer sent to any endpoint.
    Quarantined {
        /// The request.
        fingerprint: gateway::Fingerprint,
        /// The number of endpoints that crashed during the request.
        crashes: usize,
    },
    /// The request may be sent again.
    Released(gateway::Fingerprint),
}

/// The maximum number of stored crashes; they take about 200 KB.
const MAX_CRASHES: usize = 1_024;

impl Quarantine {
    /// Creates a quarantine without known crashes.
    pub const fn new(params: QuarantineParams) -> Self {
        let suspects = collections::BTreeMap::new();
        Self { params, suspects, quarantined: collections::BTreeSet::new(), hash: 0 }
    }

    /// Records that an endpoint crashed during a request of this daemon, and returns the message
    /// for the other daemons and the effects.
    ///
    /// Returns `None` if a quarantined request had crashed the endpoint before the slot was granted.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        grant: &gateway::Grant,
    ) -> Option<(gateway::Crash, Vec<QuarantineChange>)> {
        let (endpoint, start) = (grant.endpoint.clone(), grant.start);
        let crash = gateway::Crash { fingerprint, endpoint, start, age_ms: 0, refuted: false };
        if self.had_crashed(now, &crash, grant.at) {
            return None;
        }
        self.insert(now, &crash, true);
        Some((crash, self.update(now)))
    }

    /// Returns whether another, quarantined request had crashed the endpoint before `moment`.
    fn had_crashed(&self, now: Timestamp, crash: &gateway::Crash, moment: Timestamp) -> bool {
        let start = (crash.endpoint.clone(), crash.start);
        let elapsed = now.since(moment);
        let others = self.quarantined.iter().filter(|other| **other != crash.fingerprint);
        let mut records = others.filter_map(|other| self.suspects.get(other)?.crashes.get(&start));
        records.any(|record| record.counts(now) && record.age(now, self.params.crash_ttl) > elapsed)
    }

    /// Adds crashes reported by another daemon, and returns the effects.
    pub fn learn(&mut self, now: Timestamp, crashes: &[gateway::Crash]) -> Vec<QuarantineChange> {
        for crash in crashes {
            self.insert(now, crash, false);
        }
        self.update(now)
    }

    fn insert(&mut self, now: Timestamp, crash: &gateway::Crash, own: bool) {
        let age = time::Duration::from_millis(u64::from(crash.age_ms));
        let left = self.params.crash_ttl.saturating_sub(age);
        if left.is_zero() {
            return;
        }
        let suspect = self.suspects.entry(crash.fingerprint).or_default();
        let start = (crash.endpoint.clone(), crash.start);
        let new = suspect::CrashRecord { until: now + left, refuted: false, own };
        let record = suspect.crashes.entry(start).or_insert(new);
        record.refuted |= crash.refuted;
        record.own |= own;
    }

    /// Records that an endpoint has completed a request, which refutes all known crashes of that
    /// request: a request that crashes endpoints would not complete.
    ///
    /// Returns the effects, or `None` if nothing was refuted.
    pub fn record_completion(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
    ) -> Option<Vec<QuarantineChange>> {
        self.refute(now, fingerprint, |_, _| true)
    }

    /// Refutes the crashes of endpoints that are still listed too long after the crash: they have
    /// only lost a connection.
    ///
    /// `was_listed_after` returns whether the given start of an endpoint was still listed for a
    /// duration after a time. Returns the effects, or `None` if nothing was refuted.
    pub fn refute_listed(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        was_listed_after: impl Fn(&suspect::EndpointStart, Timestamp, time::Duration) -> bool,
    ) -> Option<Vec<QuarantineChange>> {
        let QuarantineParams { crash_ttl, entry_ttl, .. } = self.params;
        self.refute(now, fingerprint, |start, record| {
            let age = record.age(now, crash_ttl);
            let at = now.as_micros().saturating_sub(age.as_micros() as u64);
            age >= entry_ttl && was_listed_after(start, Timestamp::from_micros(at), entry_ttl)
        })
    }

    fn refute(
        &mut self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
        is_refuted: impl Fn(&suspect::EndpointStart, &suspect::CrashRecord) -> bool,
    ) -> Option<Vec<QuarantineChange>> {
        let suspect = self.suspects.get_mut(&fingerprint)?;
        let mut found = false;
        for (start, record) in &mut suspect.crashes {
            if !record.refuted && is_refuted(start, record) {
                record.refuted = true;
                found = true;
            }
        }
        found.then(|| self.update(now))
    }

    /// Returns when the caller of a quarantined request should come back, which is when the
    /// quarantine may have ended; `None` if the request is not quarantined.
    pub fn quarantined_for(
        &self,
        now: Timestamp,
        fingerprint: gateway::Fingerprint,
    ) -> Option<time::Duration> {
        if !self.quarantined.contains(&fingerprint) {
            return None;
        }
        let expiries = self.suspects.get(&fingerprint)?.counted(now);
        let latest = expiries.iter().map(|until| until.since(now)).max()?;
        let age = self.params.crash_ttl.saturating_sub(latest);
        if age < self.params.entry_ttl {
            // The list of endpoints may still show that the endpoints are alive.
            return Some(self.params.entry_ttl - age);
        }
        let mut left: Vec<_> = expiries.iter().map(|until| until.since(now)).collect();
        left.sort_unstable();
        let first = left.len().checked_sub(self.params.min_crashes)?;
        left.get(first).copied()
    }

    /// Returns the number of endpoints known to have crashed during a request.
    pub fn crash_count(&self, now: Timestamp, fingerprint: gateway::Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.counted(now).len())
    }

    /// Returns a hash of the shared crashes, the same for daemons that know the same crashes.
    pub const fn hash(&self) -> u64 {
        self.hash
    }

    /// Removes expired crashes, and updates the quarantined requests and the hash. Returns the
    /// effects.
    fn update(&mut self, now: Timestamp) -> Vec<QuarantineChange> {
        self.expire(now);
        let quarantined = self.find_causes(now);
        self.hash = self.shared_hash();
        let before = std::mem::replace(&mut self.quarantined, quarantined);
        let new =
            self.quarantined.difference(&before).map(|fingerprint| QuarantineChange::Quarantined {
                fingerprint: *fingerprint,
                crashes: self.crash_count(now, *fingerprint),
            });
        let gone = before.difference(&self.quarantined).copied().map(QuarantineChange::Released);
        new.chain(gone).collect()
    }

    /// Returns the requests that crash endpoints, without those that only ran at the same time.
    ///
    /// A crash does not count for a request if another request of higher rank explains it.
    fn find_causes(&self, now: Timestamp) -> collections::BTreeSet<gateway::Fingerprint> {
        let min_crashes = self.params.min_crashes;
        let mut ranked: Vec<_> = self.suspects.iter().collect();
        ranked.sort_by_cached_key(|(_, suspect)| suspect.rank(now));
        let mut explained = collections::BTreeSet::new();
        let mut causes = collections::BTreeSet::new();
        for (fingerprint, suspect) in ranked {
            let starts: Vec<_> = suspect.counted_starts(now).collect();
            let unexplained = starts.iter().filter(|start| !explained.contains(*start)).count();
            if unexplained >= min_crashes {
                causes.insert(*fingerprint);
                explained.extend(starts);
            }
        }
        causes
    }

    fn expire(&mut self, now: Timestamp) {
        for suspect in self.suspects.values_mut() {
            suspect.crashes.retain(|_, record| now < record.until);
        }
        self.suspects.retain(|_, suspect| !suspect.crashes.is_empty());
        while self.suspects.values().map(|suspect| suspect.crashes.len()).sum::<usize>()
            > MAX_CRASHES
        {
            let known = self.suspects.iter().filter(|(found, _)| !self.quarantined.contains(found));
            let oldest = known.min_by_key(|(_, suspect)| suspect.latest()).map(|(found, _)| *found);
            let Some(oldest) = oldest.or_else(|| self.suspects.keys().next().copied()) else {
                return;
            };
            self.suspects.remove(&oldest);
        }
    }
}
