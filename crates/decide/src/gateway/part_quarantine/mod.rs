//! Detection of parts of prompts that crash endpoints.
//!
//! In contrast to [`Quarantine`](gateway::Quarantine), this finds requests of which no two are alike.
//! All daemons report requests that were cut off, and parts that endpoints have answered. The hubs
//! receive all reports and decide. The other daemons follow them, since each of these sees too few answers
//! to tell a part that crashes endpoints from a common one.

mod causes;
mod decisions;
mod moment;
mod params;
mod record;
mod sharing;
mod survivals;

use std::{collections, net};

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
    /// The endpoint.
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
