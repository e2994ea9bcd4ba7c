//! Which versions of the endpoints a pool uses, and what it sees of them.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self, Access, Answers, Comparison, Demand, Exposure, Finding, Gate, Grant, Judge, Pool,
    pool::{endpoint, mean},
};

/// Holds which versions may run requests, and what is seen of the one that is tried.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    gate: Gate,
    /// The order for which a version was tried last.
    order: Option<u64>,
    exposure: Exposure,
    /// Compares how often answers are failures.
    failures: Judge,
    /// Compares how often answers come far too late.
    delays: Judge,
    /// When an endpoint of a version that gets nothing was last known to have work.
    busy: Timestamp,
    /// How long answers of plain endpoints take at the version in force, by route, in milliseconds.
    usual_ms: collections::HashMap<u32, mean::Mean>,
}

/// Counts answers by route until others are told of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Untold(Vec<gateway::RouteAnswers>);

/// How many times as long as predicted an answer takes that came far too late. Endpoints of one version differ by a factor of
/// three, and the prediction is for a usual one.
const SLOW: f64 = 2.0;

/// For how long endpoints must be known to have no work before they are idle: a report may be lost.
const IDLE: time::Duration = time::Duration::from_millis(600);

/// Over how many answers of a route the usual time is followed.
const TIME_WINDOW: f64 = 50.0;

/// The least prediction, in milliseconds: below it, delays on the way decide.
const LEAST_MS: f64 = 10.0;

/// How many endpoints of a new version are tried at least, so that one which is ill by itself does not decide.
const LEAST_TRIED: usize = 2;

impl Versions {
    pub(super) fn access(&self, version: &id::VersionName) -> Access {
        self.gate.access(version)
    }

    /// Says whether a version gets requests of all kinds.
    pub(super) fn is_full(&self, version: &id::VersionName) -> bool {
        self.access(version) == Access::Full
    }

    /// Says whether one more request of a route may go to the version that is tried.
    pub(super) fn allows(&self, route: u32) -> bool {
        let canary = self.gate.canary.as_ref();
        canary.is_some_and(|canary| self.exposure.allows(route, canary.share))
    }

    fn is_trying(&self) -> bool {
        self.gate.canary.is_some()
    }

    /// Takes in what another daemon has seen at an endpoint of a version.
    pub(super) fn note_told(
        &mut self,
        now: Timestamp,
        version: &id::VersionName,
        load: &gateway::EndpointLoad,
    ) {
        for told in &load.answers {
            self.note(now, version, &load.endpoint, told);
        }
    }

    fn note(
        &mut self,
        now: Timestamp,
        version: &id::VersionName,
        endpoint: &id::EndpointName,
        told: &gateway::RouteAnswers,
    ) {
        let route = told.route;
        let answers = |bad: u16| Answers { count: u32::from(told.count), bad: u32::from(bad) };
        let access = self.access(version);
        for (judge, bad) in [(&mut self.failures, told.failed), (&mut self.delays, told.slow)] {
            match access {
                Access::Full => judge.note_usual(now, route, answers(bad)),
                Access::Canary => judge.note_tried(now, endpoint, route, answers(bad)),
                Access::None => {}
            }
        }
    }

    /// Returns what is found of the version that is tried: it is bad if it is so in either way.
    fn compare(&self, now: Timestamp) -> Comparison {
        match (self.failures.compare(now), self.delays.compare(now)) {
            (Comparison::Good, other) | (other, Comparison::Good) => other,
            (Comparison::Bad { evidence }, _) | (_, Comparison::Bad { evidence }) => {
                Comparison::Bad { evidence }
            }
            (Comparison::Open, Comparison::Open) => Comparison::Open,
        }
    }
}

impl Untold {
    fn note(&mut self, answers: &gateway::RouteAnswers) {
        let Some(told) = self.0.iter_mut().find(|told| told.route == answers.route) else {
            self.0.push(*answers);
            return;
        };
        told.count = told.count.saturating_add(answers.count);
        told.failed = told.failed.saturating_add(answers.failed);
        told.slow = told.slow.saturating_add(answers.slow);
    }

    /// Returns what is to be told.
    pub(super) fn take(&mut self) -> Vec<gateway::RouteAnswers> {
        std::mem::take(&mut self.0)
    }
}

impl Pool {
    /// Takes in which versions may run requests. A version that is tried for another order is measured anew.
    pub fn set_gate(&mut self, now: Timestamp, gate: Gate) {
        if self.versions.gate == gate {
            return;
        }
        let order = gate.canary.as_ref().map(|canary| canary.order);
        if order.is_some() && order != self.versions.order {
            self.versions.order = order;
            self.versions.exposure = Exposure::default();
            self.versions.failures = Judge::default();
            self.versions.delays = Judge::default();
        }
        self.versions.gate = gate;
        self.versions.busy = now;
        self.has_listed = true;
        self.refresh(now);
    }

    /// Returns what is found of a move to the version `to`.
    pub fn finding(&self, now: Timestamp, to: &id::VersionName) -> Finding {
        let mut versions = self.endpoints.values().map(|endpoint| &endpoint.version);
        Finding {
            comparison: self.versions.compare(now),
            is_idle: now.since(self.versions.busy) >= IDLE,
            is_alone: !self.is_empty() && versions.all(|version| version == to),
        }
    }

    /// Notes whether endpoints of a version that gets nothing have work.
    pub(super) fn note_busy(&mut self, now: Timestamp) {
        let is_busy = |endpoint: &endpoint::Endpoint| {
            self.versions.access(&endpoint.version) == Access::None && endpoint.load().running > 0
        };
        if self.endpoints.values().any(is_busy) {
            self.versions.busy = now;
        }
    }

    /// Returns how many requests were placed since a version is tried and how many of them it got; and the answers of the
    /// version in force and of the one that is tried, first with those that were failures, then with those that came far too
    /// late.
    pub fn tried(&self) -> ((u64, u64), [(Answers, Answers); 2]) {
        let answers = [self.versions.failures.answers(), self.versions.delays.answers()];
        (self.versions.exposure.counts(), answers)
    }

    /// Returns how many endpoints of the version that is tried are used: so many that each has as much to do as the old
    /// ones, since a version may turn bad under load only.
    pub(super) fn tried_count(&self, now: Timestamp) -> usize {
        let Some(canary) = &self.versions.gate.canary else { return 0 };
        let is_used = |endpoint: &&endpoint::Endpoint| {
            endpoint.is_usable(now) && self.versions.is_full(&endpoint.version)
        };
        let full = self.endpoints.values().filter(is_used).count();
        ((full as f64 * canary.share).ceil() as usize).max(LEAST_TRIED)
    }

    /// Counts a request that gets a place at an endpoint.
    pub(super) fn note_placed(&mut self, endpoint: &id::EndpointName, demand: &Demand) {
        if !self.versions.is_trying() {
            return;
        }
        let version = self.endpoints.get(endpoint).map(|endpoint| &endpoint.version);
        let is_tried =
            version.is_some_and(|version| self.versions.access(version) == Access::Canary);
        self.versions.exposure.note(demand.route, is_tried);
    }

    /// Notes that an answer has begun to come.
    pub(super) fn note_answer(&mut self, now: Timestamp, grant: &Grant) {
        let took = now.since(grant.at).as_secs_f64() * 1_000.0;
        let usual = self.predicted_ms(grant);
        let is_slow = usual.is_some_and(|usual| took > usual.max(LEAST_MS) * SLOW);
        let Some(endpoint) = self.granted(grant) else { return };
        let version = endpoint.version.clone();
        if self.event_tokens == 0 && self.versions.is_full(&version) {
            let known = self.versions.usual_ms.entry(grant.route);
            let mean = known.or_insert_with(|| mean::Mean::new(took, TIME_WINDOW));
            // One answer in a hundred takes several times as long.
            mean.observe(took.min(mean.value() * SLOW * SLOW));
        }
        let slow = u16::from(is_slow);
        let answers = gateway::RouteAnswers { route: grant.route, count: 1, failed: 0, slow };
        self.note_answers(now, grant, &answers);
    }

    /// Notes that an answer was a failure or broke off.
    pub(super) fn note_failure(&mut self, now: Timestamp, grant: &Grant) {
        let route = grant.route;
        let answers = gateway::RouteAnswers { route, count: 0, failed: 1, slow: 0 };
        self.note_answers(now, grant, &answers);
    }

    fn note_answers(&mut self, now: Timestamp, grant: &Grant, answers: &gateway::RouteAnswers) {
        if !self.versions.is_trying() {
            return;
        }
        let Some(endpoint) = self.granted(grant) else { return };
        endpoint.answers.note(answers);
        let version = endpoint.version.clone();
        self.versions.note(now, &version, &grant.endpoint, answers);
    }

    /// Returns after which time the answer to a request begins to come from a usual endpoint of the version in force, in
    /// milliseconds; `None` if that is not known.
    fn predicted_ms(&self, grant: &Grant) -> Option<f64> {
        if self.event_tokens == 0 {
            return self.versions.usual_ms.get(&grant.route).map(mean::Mean::value);
        }
        let prompt = f64::from(grant.prompt.saturating_add(grant.ahead));
        Some(self.usual.begin_ms + prompt * self.usual.prompt_ms)
    }
}
