//! One endpoint as a daemon knows it.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self,
    pool::{
        initial_estimates, linear_regression, load::Load, moving_average, prefix_cache, rate_limit,
        state, versions,
    },
};

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) address: net::SocketAddr,
    pub(super) zone: id::ZoneName,
    /// Which start of the endpoint this is.
    pub(super) start: u64,
    /// The version of its software.
    pub(super) version: id::VersionName,
    /// The number of requests that it runs at once; at least 1.
    pub(super) slots: u32,
    pub(super) draining: bool,
    /// Whether it has said in an answer, to this daemon or to one that has reported it, that it is about to
    /// stop.
    pub(super) leaving: bool,
    /// Whether it has yet to be reported to the other daemons that it is about to stop.
    unreported_leaving: bool,
    /// The load that this daemon has sent.
    pub(super) own: Load,
    /// The value of `own` when it was last reported to the other daemons.
    reported: Load,
    /// The load granted to other daemons that is not in their reports yet.
    pub(super) reserved: Load,
    /// The load that other daemons have reported: the sum of their latest reports.
    pub(super) others: Load,
    /// The parts of prompts that the endpoint is assumed to have cached.
    prefix_cache: prefix_cache::PrefixCache,
    /// The mean time between two tokens, in milliseconds.
    step_time: moving_average::MovingAverage,
    /// The time between two tokens without a prompt being read in between, in milliseconds.
    base_step: moving_average::LowerQuartile,
    /// The time to a first event, in units of `base_step`, by thousands of prompt tokens.
    first_event: linear_regression::LinearRegression,
    /// The fraction of the answers that failed or broke off.
    failure_rate: moving_average::MovingAverage,
    /// The request rate limit that the endpoint reports in its answers.
    pub(super) rate_limit: rate_limit::RateLimit,
    /// The measurements that have not been reported to the other daemons yet.
    learned: gateway::Learned,
    /// The answers that have not been reported to the other daemons yet, by route.
    pub(super) answers: versions::UnreportedAnswers,
    /// When the endpoint last responded, or was sent a request while it had none running.
    last_activity: Timestamp,
    /// When the endpoint last responded.
    last_response: Option<Timestamp>,
    /// The endpoint gets no requests before this time.
    paused_until: Timestamp,
    /// The number of failed connections and rejections in a row.
    refusals: u32,
}

/// The longest step time that is recorded, in milliseconds per token. Longer gaps are clamped to it, so
/// that a single pause has little effect on the mean.
const MAX_STEP_MS: f64 = 100.0;

/// The shortest gap that counts as a step, in milliseconds per token. Events that follow each other faster
/// were delayed on their way and arrived together.
const MIN_STEP_MS: f64 = 0.5;

/// The number of events over which the step time is averaged: about two streams.
const STEP_WINDOW: f64 = 60.0;

/// For this long after its last response to any daemon, an endpoint is not paused when another daemon was
/// rejected or could not connect.
const RESPONSIVE_PERIOD: time::Duration = time::Duration::from_millis(300);

/// The number of answers over which the failure rate is averaged.
const FAILURE_WINDOW: f64 = 8.0;

/// Prompt lengths are measured in thousands of tokens.
const KILO: f64 = 1_000.0;

impl Endpoint {
    pub(super) fn new(
        now: Timestamp,
        entry: &gateway::RosterEntry,
        estimates: initial_estimates::InitialEstimates,
        cache_tokens: u32,
    ) -> Self {
        Self {
            address: entry.address,
            zone: entry.zone.clone(),
            start: entry.start,
            version: entry.version.clone(),
            slots: entry.slots.max(1),
            draining: entry.draining,
            leaving: false,
            unreported_leaving: false,
            own: Load::default(),
            reported: Load::default(),
            reserved: Load::default(),
            others: Load::default(),
            prefix_cache: prefix_cache::PrefixCache::new(cache_tokens),
            step_time: moving_average::MovingAverage::new(estimates.step_ms, STEP_WINDOW),
            base_step: moving_average::LowerQuartile(estimates.step_ms),
            first_event: linear_regression::LinearRegression::new(
                estimates.overhead_steps,
                estimates.prompt_steps * KILO,
            ),
            failure_rate: moving_average::MovingAverage::new(0.0, FAILURE_WINDOW),
            rate_limit: rate_limit::RateLimit::default(),
            learned: gateway::Learned::default(),
            answers: versions::UnreportedAnswers::default(),
            last_activity: now,
            last_response: None,
            paused_until: Timestamp::ZERO,
            refusals: 0,
        }
    }

    pub(super) fn update(&mut self, entry: &gateway::RosterEntry) {
        self.address = entry.address;
        self.zone = entry.zone.clone();
        self.version = entry.version.clone();
        self.slots = entry.slots.max(1);
        self.draining = entry.draining;
    }

    /// Records that the endpoint has said to this daemon that it is about to stop.
    pub(super) const fn set_leaving(&mut self) {
        self.unreported_leaving |= !self.leaving;
        self.leaving = true;
    }

    /// Records a request that is sent to the endpoint. `load` is the estimated load there before it, and
    /// `uncached` the number of its prompt tokens that have to be read.
    pub(super) fn add_request(
        &mut self,
        now: Timestamp,
        request: &gateway::PoolRequest,
        uncached: u32,
        load: Load,
    ) {
        if load.running == 0 {
            self.last_activity = now;
        }
        self.own.add(uncached);
        self.rate_limit.count_request(now);
        self.prefix_cache.insert(now, &request.parts);
    }

    /// Returns the number of cached tokens likely to be used again that are evicted if `uncached` more are
    /// read.
    pub(super) fn evicted_tokens(&self, now: Timestamp, uncached: u32) -> u32 {
        self.prefix_cache.evicted_tokens(now, uncached)
    }

    /// Returns the number of a request's prompt tokens that have to be read here.
    pub(super) fn uncached_tokens(&self, request: &gateway::PoolRequest) -> u32 {
        request.prompt.saturating_sub(self.prefix_cache.cached_tokens(&request.parts))
    }

    fn record_response(&mut self, now: Timestamp) {
        self.last_activity = now;
        self.last_response = Some(now);
    }

    /// Applies the measurements of another daemon.
    pub(super) fn apply_report(
        &mut self,
        now: Timestamp,
        load: &gateway::EndpointLoad,
        params: &gateway::PoolParams,
    ) {
        self.leaving |= load.leaving;
        let learned = &load.learned.unwrap_or_default();
        let silent_for = time::Duration::from_millis(u64::from(load.silent_ms));
        let responded_at =
            Timestamp::from_micros(now.as_micros().saturating_sub(silent_for.as_micros() as u64));
        if load.running > 0 || learned.served > 0 || learned.steps > 0 {
            self.last_activity = self.last_activity.max(responded_at);
            self.last_response = self.last_response.max(Some(responded_at));
        }
        if learned.served > 0 || learned.steps > 0 {
            self.refusals = 0;
        }
        self.step_time.observe_many(f64::from(learned.step_ms), learned.steps);
        if learned.steps > 0 {
            self.observe_base_step(f64::from(learned.least_ms));
        }
        if let Some(firsts) = &learned.firsts {
            self.first_event.observe(firsts);
        }
        self.failure_rate.observe_many(0.0, learned.served);
        self.failure_rate.observe_many(1.0, learned.failed);
        // The reporting daemon may be isolated; an endpoint that responds to others is not paused because
        // of it.
        let is_responsive =
            self.last_response.is_some_and(|response| now.since(response) < RESPONSIVE_PERIOD);
        if learned.refused > 0 && !is_responsive {
            self.pause(now, params);
        }
    }

    /// Returns this daemon's load at the endpoint for a report and marks it as reported; `None` if there is
    /// nothing to report.
    ///
    /// Unless `all` is set, only changes are reported.
    pub(super) fn take_report(
        &mut self,
        now: Timestamp,
        name: &id::EndpointName,
        all: bool,
    ) -> Option<gateway::EndpointLoad> {
        let has_changed = std::mem::replace(&mut self.reported, self.own) != self.own;
        let learned = std::mem::take(&mut self.learned);
        let learned = (!learned.is_empty()).then_some(learned);
        let answers = self.answers.take();
        let rate_limit = self.rate_limit.report(now);
        let has_limit_change = self.rate_limit.take_unreported_change();
        let has_left = std::mem::take(&mut self.unreported_leaving);
        let has_news =
            has_changed || has_limit_change || has_left || learned.is_some() || !answers.is_empty();
        let should_report =
            has_news || (all && (self.own.running > 0 || rate_limit.is_some() || self.leaving));
        should_report.then(|| gateway::EndpointLoad {
            learned,
            rate_limit,
            answers,
            ..self.report(now, name)
        })
    }

    pub(super) fn record_first_event(
        &mut self,
        now: Timestamp,
        grant: &gateway::Grant,
        prompt: u32,
    ) {
        self.record_response(now);
        // The reading time of other requests' prompts is unknown, so only first events without a prompt
        // ahead of them are measured.
        if grant.prompt > 0 && grant.queued_tokens == 0 {
            let took = now.since(grant.at).as_secs_f64() * 1_000.0;
            let observation =
                gateway::Firsts::one(f64::from(grant.prompt) / KILO, took / self.base_step.0);
            self.first_event.observe(&observation);
            self.learned.firsts.get_or_insert_default().add(&observation);
        }
        self.refusals = 0;
        self.own.prefill = self.own.prefill.saturating_sub(prompt);
    }

    pub(super) fn record_event(&mut self, now: Timestamp, step_ms: f64) {
        self.record_response(now);
        let step_ms = step_ms.min(MAX_STEP_MS);
        self.step_time.observe(step_ms);
        self.observe_base_step(step_ms);
        self.learned.note_step(step_ms);
    }

    fn observe_base_step(&mut self, step_ms: f64) {
        if step_ms >= MIN_STEP_MS {
            self.base_step.observe(step_ms);
        }
    }

    pub(super) fn end_request(
        &mut self,
        now: Timestamp,
        prompt: u32,
        outcome: gateway::Outcome,
        params: &gateway::PoolParams,
    ) {
        self.own.remove(prompt);
        match outcome {
            gateway::Outcome::Served => {
                self.record_response(now);
                self.refusals = 0;
                self.learned.served = self.learned.served.saturating_add(1);
                self.failure_rate.observe(0.0);
            }
            gateway::Outcome::Failed => {
                self.record_response(now);
                self.learned.failed = self.learned.failed.saturating_add(1);
                self.failure_rate.observe(1.0);
            }
            gateway::Outcome::Lost => {
                self.learned.failed = self.learned.failed.saturating_add(1);
                self.failure_rate.observe(1.0);
            }
            gateway::Outcome::Rejected | gateway::Outcome::Unreachable => {
                self.learned.refused = self.learned.refused.saturating_add(1);
                self.pause(now, params);
            }
            gateway::Outcome::Cancelled | gateway::Outcome::Unused => {}
        }
    }

    fn pause(&mut self, now: Timestamp, params: &gateway::PoolParams) {
        let factor = 1_u32 << self.refusals.min(4);
        self.refusals += 1;
        self.paused_until = now + (params.pause * factor).min(params.longest_pause);
    }

    /// Returns the estimated load by all daemons.
    pub(super) const fn load(&self) -> Load {
        self.own.plus(self.reserved).plus(self.others)
    }

    /// Returns whether the endpoint may get new requests at all.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        !self.is_stopping() && now >= self.paused_until
    }

    /// Returns whether the endpoint gets no new requests any more.
    pub(super) const fn is_stopping(&self) -> bool {
        self.draining || self.leaving
    }

    /// Returns how long the endpoint has been silent while it had `load`.
    pub(super) fn silence(&self, now: Timestamp, load: Load) -> time::Duration {
        if load.running == 0 { time::Duration::ZERO } else { now.since(self.last_activity) }
    }

    /// Returns for how long no daemon has had a request here, as far as this one knows; `None` if one has.
    pub(super) fn idle_time(&self, now: Timestamp) -> Option<time::Duration> {
        (self.load().running == 0).then(|| now.since(self.last_activity))
    }

    /// Lets the next measurements outweigh the earlier ones.
    pub(super) fn discount_estimates(&mut self) {
        self.first_event.discount();
        self.step_time.discount();
        self.failure_rate.discount();
    }

    /// Returns whether the endpoint is suspected to have failed. It then gets one request at a time as a
    /// probe.
    pub(super) fn is_suspect(
        &self,
        now: Timestamp,
        load: Load,
        params: &gateway::PoolParams,
    ) -> bool {
        let prompt = f64::from(load.prefill) * self.prompt_ms() * 3.0;
        let timeout = params.silence + time::Duration::from_secs_f64(prompt / 1_000.0);
        self.refusals > 0 || self.silence(now, load) > timeout
    }

    pub(super) const fn step_ms(&self) -> f64 {
        self.step_time.value()
    }

    pub(super) const fn base_step_ms(&self) -> f64 {
        self.base_step.0
    }

    /// Returns the time to read a prompt token, in milliseconds.
    pub(super) fn prompt_ms(&self) -> f64 {
        self.first_event.slope() / KILO * self.base_step.0
    }

    /// Returns the time to a first event without the reading of prompts, in milliseconds.
    pub(super) fn overhead_ms(&self) -> f64 {
        self.first_event.intercept() * self.base_step.0
    }

    pub(super) const fn failure_rate(&self) -> f64 {
        self.failure_rate.value()
    }

    /// Returns this daemon's load at the endpoint.
    fn report(&self, now: Timestamp, name: &id::EndpointName) -> gateway::EndpointLoad {
        gateway::EndpointLoad {
            endpoint: name.clone(),
            start: self.start,
            running: u16::try_from(self.own.running).unwrap_or(u16::MAX),
            prefill: self.own.prefill,
            silent_ms: self.silence(now, self.own).as_millis() as u32,
            learned: None,
            rate_limit: None,
            answers: Vec::new(),
            leaving: self.leaving,
        }
    }

    pub(super) fn state(&self, now: Timestamp, name: &id::EndpointName) -> state::EndpointState {
        state::EndpointState {
            endpoint: name.clone(),
            own: self.own.running,
            others: self.others.running,
            step_ms: self.step_time.value(),
            failures: self.failure_rate.value(),
            silent_ms: self.silence(now, self.own).as_millis() as u64,
        }
    }
}
