//! The versions of a pool's endpoints, and the measurements of them.

use std::{collections, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self, Access, Answers, Comparison, Exposure, Finding, Gate, Grant, Judge, Pool, PoolRequest,
    pool::{endpoint, moving_average},
};

/// The versions that may run requests, and the measurements of the canary version.
#[derive(Clone, Debug, Default)]
pub(super) struct Versions {
    gate: Gate,
    /// The latest order that started a canary.
    canary_order: Option<u64>,
    exposure: Exposure,
    /// Compares how often answers fail.
    failures: Judge,
    /// Compares how often answers arrive far too late.
    delays: Judge,
    /// When an endpoint of a version without access was last known to have running requests.
    last_busy: Timestamp,
    /// The mean time to an answer of plain endpoints of the current version, by route, in milliseconds.
    mean_ms: collections::HashMap<u32, moving_average::MovingAverage>,
}

/// The answers by route that have not been reported to the other daemons yet.
#[derive(Clone, Debug, Default)]
pub(super) struct UnreportedAnswers(Vec<gateway::RouteAnswers>);

/// The ratio to the predicted time from which an answer is far too late. Endpoints of one version differ by
/// a factor of three, and the prediction is for an average endpoint.
const SLOW_RATIO: f64 = 2.0;

/// How long endpoints must be known to have no running requests before they count as idle, since a report
/// may be lost.
const IDLE_PERIOD: time::Duration = time::Duration::from_millis(600);

/// The number of answers of a route over which the time is averaged.
const ANSWER_WINDOW: f64 = 50.0;

/// The smallest prediction, in milliseconds; below it, network delays dominate.
const MIN_PREDICTED_MS: f64 = 10.0;

/// The minimum number of canary endpoints, so that a single faulty endpoint does not decide the comparison.
const MIN_CANARIES: usize = 2;

impl Versions {
    pub(super) fn access(&self, version: &id::VersionName) -> Access {
        self.gate.access(version)
    }

    /// Returns whether a version may run all requests.
    pub(super) fn has_full_access(&self, version: &id::VersionName) -> bool {
        self.access(version) == Access::Full
    }

    /// Returns whether one more request of a route may go to the canary version.
    pub(super) fn allows_canary(&self, route: u32) -> bool {
        let canary = self.gate.canary.as_ref();
        canary.is_some_and(|canary| self.exposure.allows(route, canary.share))
    }

    fn has_canary(&self) -> bool {
        self.gate.canary.is_some()
    }

    /// Records what another daemon has measured at an endpoint of a version.
    pub(super) fn record_report(
        &mut self,
        now: Timestamp,
        version: &id::VersionName,
        load: &gateway::EndpointLoad,
    ) {
        for reported in &load.answers {
            self.record(now, version, &load.endpoint, reported);
        }
    }

    fn record(
        &mut self,
        now: Timestamp,
        version: &id::VersionName,
        endpoint: &id::EndpointName,
        reported: &gateway::RouteAnswers,
    ) {
        let route = reported.route;
        let answers = |bad: u16| Answers { count: u32::from(reported.count), bad: u32::from(bad) };
        let access = self.access(version);
        for (judge, bad) in
            [(&mut self.failures, reported.failed), (&mut self.delays, reported.slow)]
        {
            match access {
                Access::Full => judge.record_baseline(now, route, answers(bad)),
                Access::Canary => judge.record_canary(now, endpoint, route, answers(bad)),
                Access::None => {}
            }
        }
    }

    /// Returns the result for the canary version: it is bad if either comparison is.
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

impl UnreportedAnswers {
    fn record(&mut self, answers: &gateway::RouteAnswers) {
        let Some(reported) = self.0.iter_mut().find(|reported| reported.route == answers.route)
        else {
            self.0.push(*answers);
            return;
        };
        reported.count = reported.count.saturating_add(answers.count);
        reported.failed = reported.failed.saturating_add(answers.failed);
        reported.slow = reported.slow.saturating_add(answers.slow);
    }

    /// Returns the answers to report.
    pub(super) fn take(&mut self) -> Vec<gateway::RouteAnswers> {
        std::mem::take(&mut self.0)
    }
}

impl Pool {
    /// Sets which versions may run requests. A canary of another order is measured from the start.
    pub fn set_gate(&mut self, now: Timestamp, gate: Gate) {
        if self.versions.gate == gate {
            return;
        }
        let order = gate.canary.as_ref().map(|canary| canary.order);
        if order.is_some() && order != self.versions.canary_order {
            self.versions.canary_order = order;
            self.versions.exposure = Exposure::default();
            self.versions.failures = Judge::default();
            self.versions.delays = Judge::default();
        }
        self.versions.gate = gate;
        self.versions.last_busy = now;
        self.has_roster_change = true;
        self.refresh_averages(now);
    }

    /// Returns whether a stream that `version` began can go on: whether an endpoint of it is listed that
    /// takes requests.
    pub fn runs_version(&self, version: &id::VersionName) -> bool {
        let has_access = self.versions.access(version) != Access::None;
        let mut endpoints = self.endpoints.values();
        has_access
            && endpoints.any(|endpoint| endpoint.version == *version && !endpoint.is_stopping())
    }

    /// Returns whether an endpoint outside `tried` may run requests; `version` is the only version that may,
    /// if there is one.
    pub fn has_untried(
        &self,
        now: Timestamp,
        tried: &[id::EndpointName],
        version: Option<&id::VersionName>,
    ) -> bool {
        let may_run = |(name, endpoint): (&id::EndpointName, &endpoint::Endpoint)| {
            let backoff = self.restrictions.backoff(now, name, endpoint.start);
            endpoint.is_usable(now) && backoff.is_none()
        };
        self.untried(tried, version).any(may_run)
    }

    /// Returns the endpoints outside `tried` that may run requests now or later.
    pub(super) fn untried<'a>(
        &'a self,
        tried: &'a [id::EndpointName],
        version: Option<&'a id::VersionName>,
    ) -> impl Iterator<Item = (&'a id::EndpointName, &'a endpoint::Endpoint)> {
        self.endpoints.iter().filter(move |(name, endpoint)| {
            !tried.contains(*name)
                && !endpoint.is_stopping()
                && self.is_open_to(version, &endpoint.version)
        })
    }

    /// Returns whether endpoints of the version `at` take requests that only `version` may run, or any
    /// version if it is `None`. A canary only takes the rest of what it began.
    fn is_open_to(&self, version: Option<&id::VersionName>, at: &id::VersionName) -> bool {
        match version {
            Some(only) => only == at && self.versions.access(at) != Access::None,
            None => self.versions.has_full_access(at),
        }
    }

    /// Returns the measurements of a rollout of the version `to`.
    pub fn rollout_status(&self, now: Timestamp, to: &id::VersionName) -> Finding {
        let mut versions = self.endpoints.values().map(|endpoint| &endpoint.version);
        Finding {
            comparison: self.versions.compare(now),
            old_is_idle: now.since(self.versions.last_busy) >= IDLE_PERIOD,
            only_new_listed: !self.is_empty() && versions.all(|version| version == to),
        }
    }

    /// Records whether endpoints of a version without access have running requests.
    pub(super) fn record_busy(&mut self, now: Timestamp) {
        let is_busy = |endpoint: &endpoint::Endpoint| {
            self.versions.access(&endpoint.version) == Access::None && endpoint.load().running > 0
        };
        if self.endpoints.values().any(is_busy) {
            self.versions.last_busy = now;
        }
    }

    /// Returns the measurements of the canary version.
    ///
    /// These are the number of requests placed since the canary started and how many of them it got; and
    /// the answers of the current version and of the canary version, first with the count of failures, then
    /// with the count of answers that arrived far too late.
    pub fn canary_request_counts(&self) -> ((u64, u64), [(Answers, Answers); 2]) {
        let answers = [self.versions.failures.answers(), self.versions.delays.answers()];
        (self.versions.exposure.counts(), answers)
    }

    /// Returns how many endpoints of the canary version are used: as many as give each the same load as the
    /// endpoints of the current version, since a version may turn bad only under load.
    pub(super) fn canary_count(&self, now: Timestamp) -> usize {
        let Some(canary) = &self.versions.gate.canary else { return 0 };
        let is_used = |endpoint: &&endpoint::Endpoint| {
            endpoint.is_usable(now) && self.versions.has_full_access(&endpoint.version)
        };
        let full = self.endpoints.values().filter(is_used).count();
        ((full as f64 * canary.share).ceil() as usize).max(MIN_CANARIES)
    }

    /// Counts a request that is granted a slot at an endpoint.
    pub(super) fn record_placement(&mut self, endpoint: &id::EndpointName, request: &PoolRequest) {
        if !self.versions.has_canary() {
            return;
        }
        let version = self.endpoints.get(endpoint).map(|endpoint| &endpoint.version);
        let is_canary =
            version.is_some_and(|version| self.versions.access(version) == Access::Canary);
        self.versions.exposure.note(request.route, is_canary);
    }

    /// Records that an answer has begun to arrive.
    pub(super) fn record_answer(&mut self, now: Timestamp, grant: &Grant) {
        let took = now.since(grant.at).as_secs_f64() * 1_000.0;
        let predicted = self.predicted_ms(grant);
        let is_slow =
            predicted.is_some_and(|predicted| took > predicted.max(MIN_PREDICTED_MS) * SLOW_RATIO);
        let Some(endpoint) = self.granted_endpoint(grant) else { return };
        let version = endpoint.version.clone();
        if self.event_tokens == 0 && self.versions.has_full_access(&version) {
            let entry = self.versions.mean_ms.entry(grant.route);
            let mean =
                entry.or_insert_with(|| moving_average::MovingAverage::new(took, ANSWER_WINDOW));
            // One answer in a hundred takes several times as long.
            mean.observe(took.min(mean.value() * SLOW_RATIO * SLOW_RATIO));
        }
        let slow = u16::from(is_slow);
        let answers = gateway::RouteAnswers { route: grant.route, count: 1, failed: 0, slow };
        self.record_answers(now, grant, &answers);
    }

    /// Records that an answer failed or broke off.
    pub(super) fn record_failure(&mut self, now: Timestamp, grant: &Grant) {
        let route = grant.route;
        let answers = gateway::RouteAnswers { route, count: 0, failed: 1, slow: 0 };
        self.record_answers(now, grant, &answers);
    }

    fn record_answers(&mut self, now: Timestamp, grant: &Grant, answers: &gateway::RouteAnswers) {
        if !self.versions.has_canary() {
            return;
        }
        let Some(endpoint) = self.granted_endpoint(grant) else { return };
        endpoint.answers.record(answers);
        let version = endpoint.version.clone();
        self.versions.record(now, &version, &grant.endpoint, answers);
    }

    /// Returns the predicted time until an answer from an average endpoint of the current version begins to
    /// arrive, in milliseconds; `None` if it is not known.
    fn predicted_ms(&self, grant: &Grant) -> Option<f64> {
        if self.event_tokens == 0 {
            return self
                .versions
                .mean_ms
                .get(&grant.route)
                .map(moving_average::MovingAverage::value);
        }
        let prompt = f64::from(grant.prompt.saturating_add(grant.queued_tokens));
        Some(self.averages.overhead_ms + prompt * self.averages.prompt_ms)
    }
}
