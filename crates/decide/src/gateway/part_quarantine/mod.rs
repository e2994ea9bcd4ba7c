//! Detection of parts of prompts that crash endpoints.
//!
//! In contrast to [`Quarantine`](gateway::Quarantine), this finds requests of which no two are alike.
//! All daemons report requests that were cut off, and parts that endpoints have answered. The hubs
//! receive all reports and decide. The other daemons follow them, since each of these sees too few answers
//! to tell a part that crashes endpoints from a common one.

mod causes;
mod moment;
mod params;
mod record;
mod sharing;

use std::{cmp, collections, net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway;
use moment::Moment;

pub use params::PartQuarantineParams;

/// Tracks the parts of prompts during which endpoints have crashed, and those that are quarantined,
/// that is, no longer sent to any endpoint.
#[derive(Clone, Debug)]
pub struct PartQuarantine {
    params: PartQuarantineParams,
    crashes: collections::BTreeMap<record::CrashKey, record::CrashRecord>,
    /// When the latest request with a part was sent that an endpoint has answered.
    survivals: collections::BTreeMap<gateway::PartKey, Moment>,
    /// When the latest requests of each service were sent that endpoints have answered, by the key of the
    /// service; at most `min_answers` of them, in order.
    answers: collections::BTreeMap<gateway::PartKey, collections::VecDeque<Moment>>,
    /// What this daemon has decided.
    decided: Vec<Quarantined>,
    /// What other daemons have decided.
    adopted: collections::BTreeMap<net::SocketAddr, Vec<Quarantined>>,
    /// The quarantined parts at the last report of changes.
    reported: Vec<Vec<gateway::PartKey>>,
    /// The crashes that all daemons should know; derived from `crashes`.
    shared: Vec<record::CrashKey>,
    /// A hash of `shared` and of the quarantined parts.
    hash: u64,
    /// Whether `shared` and `hash` do not reflect the latest reports.
    is_stale: bool,
}

/// Parts that crash endpoints when one prompt holds all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Quarantined {
    parts: collections::BTreeSet<gateway::PartKey>,
    until: Moment,
}

/// A request that was cut off as its endpoint crashed.
#[derive(Clone, Copy, Debug)]
pub struct PartCut<'a> {
    /// The request.
    pub request: gateway::Fingerprint,
    /// The service and the parts of its prompt that other requests may share.
    pub parts: &'a [gateway::PartKey],
    /// The endpoint and the number of its start.
    pub endpoint: &'a id::EndpointName,
    /// The number of the endpoint's start that crashed.
    pub start: u64,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// When the first event of the answer arrived; `None` if none did.
    pub began_at: Option<Timestamp>,
}

/// The effect of a change on the quarantined parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// Requests with all of these parts are no longer sent to any endpoint.
    Quarantined {
        /// The parts.
        parts: Vec<gateway::PartKey>,
        /// The number of known endpoints that crashed under them.
        crashes: usize,
    },
    /// Requests with these parts may be sent again.
    Released {
        /// The parts.
        parts: Vec<gateway::PartKey>,
    },
}

/// The maximum number of stored crashes; they take about 250 KB.
const MAX_CRASHES: usize = 1_024;

/// The maximum number of stored survivals; they take about 100 KB.
const MAX_SURVIVALS: usize = 4_096;

impl PartQuarantine {
    /// Creates a quarantine without known crashes.
    pub const fn new(params: PartQuarantineParams) -> Self {
        Self {
            params,
            crashes: collections::BTreeMap::new(),
            survivals: collections::BTreeMap::new(),
            answers: collections::BTreeMap::new(),
            decided: Vec::new(),
            adopted: collections::BTreeMap::new(),
            reported: Vec::new(),
            shared: Vec::new(),
            hash: 0,
            is_stale: false,
        }
    }

    /// Returns the parameters.
    pub const fn params(&self) -> &PartQuarantineParams {
        &self.params
    }

    /// Returns whether any crashes are known.
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Records that an endpoint crashed during a request of this daemon, and returns the report for
    /// the hubs; `None` if the answer had been going on for too long to be the cause.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        cut: &PartCut<'_>,
    ) -> Option<gateway::PartCrash> {
        let is_late = cut.began_at.is_some_and(|began| now.since(began) >= self.params.start_time);
        if is_late || cut.parts.len() < 2 {
            return None;
        }
        let report = gateway::PartCrash {
            request: cut.request,
            parts: cut.parts.to_vec(),
            endpoint: cut.endpoint.clone(),
            start: cut.start,
            age_ms: 0,
            ran_ms: moment::millis(now.since(cut.sent_at)),
            refuted: 0,
        };
        let key = ((cut.endpoint.clone(), cut.start), cut.request);
        self.insert(now, &report);
        let record = self.crashes.get_mut(&key)?;
        record.own = true;
        let report = record.report(now.into(), &key);
        self.is_stale = true;
        Some(report)
    }

    /// Adds crashes that another daemon reported; returns those of which this daemon knows more.
    pub fn learn(
        &mut self,
        now: Timestamp,
        crashes: &[gateway::PartCrash],
    ) -> Vec<gateway::PartCrash> {
        let known = crashes.iter().filter_map(|crash| self.insert(now, crash)).collect();
        self.is_stale = true;
        known
    }

    fn insert(&mut self, now: Timestamp, crash: &gateway::PartCrash) -> Option<gateway::PartCrash> {
        let now = Moment::from(now);
        let mut new = record::CrashRecord::new(now, crash);
        if new.age(now) >= self.params.crash_ttl {
            return None;
        }
        new.parts.truncate(u16::BITS as usize);
        let key = ((crash.endpoint.clone(), crash.start), crash.request);
        let record = self.crashes.entry(key.clone()).or_insert(new);
        record.refuted |= crash.refuted;
        for part in record.parts.clone() {
            if self.survivals.get(&part).is_some_and(|sent_at| *sent_at > record.crashed_at) {
                record.refute(part);
            }
        }
        (record.refuted != crash.refuted).then(|| record.report(now, &key))
    }

    /// Records that an endpoint has answered a request with these parts that was sent at `sent_at`.
    /// A part that crashes endpoints would have crashed it.
    ///
    /// Returns what the hubs should know: the survivals that refute known crashes.
    pub fn record_survival(
        &mut self,
        now: Timestamp,
        parts: &[gateway::PartKey],
        sent_at: Timestamp,
    ) -> Vec<gateway::PartSurvival> {
        let sent_at = Moment::from(sent_at);
        if let Some(service) = parts.first() {
            self.record_answer(*service, sent_at);
        }
        let refuting = parts.iter().filter(|part| self.survive(now, **part, sent_at)).copied();
        let refuting: Vec<_> = refuting.collect();
        if !refuting.is_empty() {
            self.is_stale = true;
        }
        let age_ms = moment::millis(sent_at.until(now.into()));
        refuting.into_iter().map(|part| gateway::PartSurvival { part, age_ms }).collect()
    }

    /// Adds survivals that another daemon reported.
    pub fn learn_survivals(&mut self, now: Timestamp, survivals: &[gateway::PartSurvival]) {
        for survival in survivals {
            let sent_at = Moment::from(now).before(survival.age_ms);
            self.survive(now, survival.part, sent_at);
            let is_service = |record: &record::CrashRecord| record.service() == Some(survival.part);
            if self.crashes.values().any(is_service) {
                self.record_answer(survival.part, sent_at);
            }
        }
        self.is_stale = true;
    }

    fn record_answer(&mut self, service: gateway::PartKey, sent_at: Moment) {
        let answers = self.answers.entry(service).or_default();
        let at = answers.partition_point(|answer| *answer < sent_at);
        answers.insert(at, sent_at);
        if answers.len() > self.params.min_answers {
            answers.pop_front();
        }
    }

    /// Returns whether endpoints have answered enough requests of a service that were sent after
    /// `moment`.
    fn are_answered_since(&self, service: gateway::PartKey, moment: Moment) -> bool {
        let Some(answers) = self.answers.get(&service) else { return false };
        answers.len() >= self.params.min_answers
            && answers.front().is_some_and(|first| *first > moment)
    }

    /// Returns whether the survival refutes a known crash.
    fn survive(&mut self, now: Timestamp, part: gateway::PartKey, sent_at: Moment) -> bool {
        self.limit_survivals(now);
        if self.survivals.len() < MAX_SURVIVALS || self.survivals.contains_key(&part) {
            let latest = self.survivals.entry(part).or_insert(sent_at);
            *latest = sent_at.max(*latest);
        }
        let mut refutes = false;
        for record in self.crashes.values_mut() {
            refutes |= record.crashed_at < sent_at && record.refute(part);
        }
        refutes
    }

    /// Removes the survivals that are older than any crash that can still be reported.
    fn limit_survivals(&mut self, now: Timestamp) {
        if self.survivals.len() >= MAX_SURVIVALS {
            let oldest = Moment::from(now).before(moment::millis(self.params.entry_ttl));
            self.survivals.retain(|_, sent_at| *sent_at >= oldest);
        }
    }

    /// Refutes the crashes of endpoints that are still listed too long after the crash: they have
    /// only lost a connection.
    ///
    /// `was_listed_after` returns whether the given start of an endpoint was still listed for a
    /// duration after a time.
    pub fn refute_listed(
        &mut self,
        now: Timestamp,
        was_listed_after: impl Fn(&record::EndpointStart, Timestamp, time::Duration) -> bool,
    ) {
        let entry_ttl = self.params.entry_ttl;
        let mut is_changed = false;
        for ((start, _), record) in &mut self.crashes {
            let is_due = record.age(now.into()) >= entry_ttl && record.suspects().next().is_some();
            if is_due && was_listed_after(start, record.crashed_at.timestamp(), entry_ttl) {
                record.refute_all();
                is_changed = true;
            }
        }
        if is_changed {
            self.refresh(now);
        }
    }

    /// Decides which parts are quarantined, and returns the changes.
    pub fn decide(&mut self, now: Timestamp) -> Vec<PartChange> {
        let are_answered = |service, moment| self.are_answered_since(service, moment);
        let records = self.crashes.iter();
        let causes = causes::find_causes(now.into(), &self.params, records, are_answered);
        let decided = causes
            .into_iter()
            .map(|cause| Quarantined { until: self.expiry(&cause), parts: cause.parts });
        self.decided = decided.collect();
        self.refresh(now);
        self.take_changes(now)
    }

    /// Returns when too few of the crashes count, or some time after the latest one if they are few.
    fn expiry(&self, cause: &causes::Cause<'_>) -> Moment {
        let mut crashed: Vec<_> =
            cause.crashes.iter().map(|(_, record)| record.crashed_at).collect();
        crashed.sort_unstable_by_key(|moment| cmp::Reverse(*moment));
        let is_lasting = causes::start_count(&cause.crashes) >= self.params.lasting_crashes;
        let (needed, ttl) = match is_lasting {
            true => (self.params.min_crashes, self.params.crash_ttl),
            false => (1, self.params.trial_time),
        };
        crashed.get(needed - 1).map_or(cause.first, |moment| moment.after(ttl))
    }

    /// Takes over what another daemon has decided, also in place of earlier decisions of this daemon
    /// unless it `decides` itself, and returns the changes.
    pub fn adopt(
        &mut self,
        now: Timestamp,
        from: net::SocketAddr,
        quarantined: &[gateway::QuarantinedParts],
        decides: bool,
    ) -> Vec<PartChange> {
        if !decides {
            self.decided.clear();
        }
        let adopted = quarantined.iter().map(|quarantined| Quarantined {
            parts: quarantined.parts.iter().copied().collect(),
            until: Moment::from(now)
                .after(time::Duration::from_millis(u64::from(quarantined.left_ms))),
        });
        let adopted = adopted.filter(|quarantined| !quarantined.parts.is_empty());
        self.adopted.insert(from, adopted.collect());
        self.refresh(now);
        self.take_changes(now)
    }

    /// Drops what other daemons have decided that no longer do so, and returns the changes.
    pub fn retain_deciders(
        &mut self,
        now: Timestamp,
        deciders: &[net::SocketAddr],
    ) -> Vec<PartChange> {
        if self.adopted.keys().all(|from| deciders.contains(from)) {
            return Vec::new();
        }
        self.adopted.retain(|from, _| deciders.contains(from));
        self.refresh(now);
        self.take_changes(now)
    }

    /// Returns when the caller of a request with these parts should come back, which is when the
    /// quarantine ends; `None` if they are not quarantined.
    pub fn quarantined_for(
        &self,
        now: Timestamp,
        parts: &[gateway::PartKey],
    ) -> Option<time::Duration> {
        let found = self.quarantined(now.into());
        let found =
            found.filter(|quarantined| quarantined.parts.iter().all(|part| parts.contains(part)));
        found.map(|quarantined| Moment::from(now).until(quarantined.until)).max()
    }

    fn quarantined(&self, now: Moment) -> impl Iterator<Item = &Quarantined> {
        let all = self.decided.iter().chain(self.adopted.values().flatten());
        all.filter(move |quarantined| now < quarantined.until)
    }

    fn quarantined_sets(&self, now: Timestamp) -> Vec<Vec<gateway::PartKey>> {
        let sets = self.quarantined(now.into());
        let mut sets: Vec<Vec<_>> =
            sets.map(|quarantined| quarantined.parts.iter().copied().collect()).collect();
        sets.sort_unstable();
        sets.dedup();
        sets
    }

    /// Returns what has changed since the last call.
    fn take_changes(&mut self, now: Timestamp) -> Vec<PartChange> {
        let after = self.quarantined_sets(now);
        let before = std::mem::replace(&mut self.reported, after);
        let new = self.reported.iter().filter(|parts| !before.contains(parts));
        let new = new.map(|parts| PartChange::Quarantined {
            parts: parts.clone(),
            crashes: self.crash_count(parts),
        });
        let gone = before.iter().filter(|parts| !self.reported.contains(parts));
        let gone = gone.map(|parts| PartChange::Released { parts: parts.clone() });
        new.chain(gone).collect()
    }

    /// Returns the number of endpoints known to have crashed during requests with all of `parts`.
    pub fn crash_count(&self, parts: &[gateway::PartKey]) -> usize {
        let matching = self.crashes.iter().filter(|(_, record)| {
            let suspects: collections::BTreeSet<_> = record.suspects().collect();
            !parts.is_empty() && parts.iter().all(|part| suspects.contains(part))
        });
        causes::start_count(&matching.collect())
    }

    /// Returns whether reports have arrived since the last [`Self::refresh`].
    pub const fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Removes expired crashes, and updates what is shared, which reports alone do not: many may
    /// arrive at once.
    pub fn refresh(&mut self, now: Timestamp) {
        self.is_stale = false;
        self.expire(now.into());
        self.share(now);
    }

    fn expire(&mut self, now: Moment) {
        let PartQuarantineParams { suspect_ttl, crash_ttl, .. } = self.params;
        let quarantined: Vec<_> =
            self.quarantined(now).map(|quarantined| quarantined.parts.clone()).collect();
        let is_evidence = |record: &record::CrashRecord| {
            quarantined.iter().any(|parts| parts.iter().all(|part| record.parts.contains(part)))
        };
        self.crashes.retain(|_, record| {
            let ttl = if is_evidence(record) { crash_ttl } else { suspect_ttl };
            record.age(now) < ttl
        });
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self
                .crashes
                .iter()
                .min_by_key(|(_, record)| (is_evidence(record), record.crashed_at))
                .map(|(key, _)| key.clone());
            let Some(oldest) = oldest else { return };
            self.crashes.remove(&oldest);
        }
    }
}
