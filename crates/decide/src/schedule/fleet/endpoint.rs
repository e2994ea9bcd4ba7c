//! The scheduler's model of one endpoint.

use std::{collections, time};

use trefoildyke_types::{engine, id, time::Timestamp};

use crate::schedule::{self, estimate, fleet};

/// How long ended requests are remembered, to interpret a load report that arrives late.
const ENDED_RETENTION: time::Duration = time::Duration::from_secs(10);

/// The share of the outstanding prompts' processing time that is assumed to be left, at least,
/// until a long prompt's first token arrives.
const MIN_LONG_PART: f64 = 0.25;

/// The scheduler's model of an endpoint.
///
/// It combines the requests that the scheduler permitted, which are known exactly, the speed that
/// it learned, and the additional requests that load reports show.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Endpoint {
    pub(in crate::schedule) name: id::EndpointName,
    /// At least 1.
    pub(in crate::schedule) slots: u32,
    pub(in crate::schedule) leaving: bool,
    pub(in crate::schedule) health: fleet::Health,
    pub(in crate::schedule) speed: fleet::Speed,
    /// The number of permitted requests that have not ended; the shard's `permitted` holds as many
    /// for this endpoint.
    pub(in crate::schedule) running: u32,
    /// How many of the `running` requests are generating tokens.
    pub(in crate::schedule) streaming: u32,
    /// Prompt tokens of permitted requests that are not known to be processed.
    pub(in crate::schedule) pending_prefill: u64,
    /// The number of permitted long prompts that are not known to be processed.
    pub(in crate::schedule) long_prompts: u32,
    /// The number of requests that a load report shows and that the scheduler did not permit.
    external: u32,
    /// When the outstanding prompts are expected to be processed.
    pub(in crate::schedule) prefill_end: Timestamp,
    /// When the endpoint last generated the first token of an answer.
    last_prefill: Timestamp,
    /// When the last report on the endpoint's requests arrived.
    pub(in crate::schedule) last_report_at: Timestamp,
    /// The average interval between two reports on the endpoint's requests, in seconds.
    report_gap: estimate::MovingAverage,
    /// The average interval between the ends of two requests while all slots are in use, in
    /// seconds.
    release_gap: estimate::MovingAverage,
    last_end: Timestamp,
    /// The dispatch and end times of recently ended requests, to interpret a late load report.
    ended: collections::VecDeque<(Timestamp, Timestamp)>,
    last_load: Option<engine::LoadReport>,
}

impl Endpoint {
    pub(in crate::schedule) fn new(
        info: &schedule::EndpointInfo,
        params: &schedule::Params,
        now: Timestamp,
    ) -> Self {
        Self {
            name: info.endpoint.clone(),
            slots: info.slots.max(1),
            leaving: false,
            health: fleet::Health::Normal,
            speed: fleet::Speed::new(params),
            running: 0,
            streaming: 0,
            pending_prefill: 0,
            long_prompts: 0,
            external: 0,
            prefill_end: now,
            last_prefill: now,
            last_report_at: now,
            report_gap: estimate::MovingAverage::new(0.05, 1.0, 50.0),
            release_gap: estimate::MovingAverage::new(0.1, 1.0, 20.0),
            last_end: now,
            ended: collections::VecDeque::new(),
            last_load: None,
        }
    }

    /// Returns whether the endpoint may get new requests at all.
    pub(in crate::schedule) const fn is_usable(&self) -> bool {
        !self.leaving && !self.health.is_suspended()
    }

    /// Returns whether the endpoint can take one more request now.
    pub(in crate::schedule) fn is_open(&self, now: Timestamp, params: &schedule::Params) -> bool {
        self.is_usable()
            && self.running + self.external < self.max_running()
            && self.prefill_backlog(now) <= params.prefill_queue.as_secs_f64()
    }

    /// Returns the maximum number of requests that the endpoint may run at once.
    const fn max_running(&self) -> u32 {
        if matches!(self.health, fleet::Health::Trial) { 1 } else { self.slots }
    }

    /// Returns the expected processing time of the outstanding prompts, in seconds.
    pub(in crate::schedule) fn prefill_backlog(&self, now: Timestamp) -> f64 {
        let left = self.prefill_end.since(now).as_secs_f64();
        if self.long_prompts == 0 {
            return left;
        }
        // A long prompt is in progress until its first token arrives, even past its predicted end.
        left.max(MIN_LONG_PART * self.speed.prefill_token_time() * self.pending_prefill as f64)
    }

    /// Returns the expected time until the endpoint can take one more request, in seconds; 0 if it
    /// can now.
    pub(in crate::schedule) fn expected_wait(
        &self,
        now: Timestamp,
        params: &schedule::Params,
    ) -> f64 {
        let full = self.running + self.external >= self.max_running();
        let slot = if full { self.release_gap.value() } else { 0.0 };
        slot.max(self.prefill_backlog(now) - params.prefill_queue.as_secs_f64()).max(0.0)
    }

    /// Returns the endpoint's token generation rate with all slots in use, in tokens per second.
    pub(in crate::schedule) fn capacity(&self) -> f64 {
        if self.is_usable() { f64::from(self.slots) / self.speed.step_time() } else { 0.0 }
    }

    /// Adds a permitted request.
    pub(in crate::schedule) fn admit(&mut self, now: Timestamp, prefill: u32, is_long: bool) {
        if self.running == 0 {
            self.last_report_at = now;
        }
        self.running += 1;
        self.long_prompts += u32::from(is_long);
        self.pending_prefill += u64::from(prefill);
        let length = time::Duration::from_secs_f64(self.speed.prefill_time(prefill));
        self.prefill_end = self.prefill_end.max(now) + length;
    }

    /// Records that a prompt is processed; `dispatched` is the time at which its request was dispatched.
    pub(in crate::schedule) fn first_token(
        &mut self,
        now: Timestamp,
        dispatched: Timestamp,
        prefill: u32,
    ) {
        let begun = self.last_prefill.max(dispatched);
        if self.last_prefill < now {
            self.speed.observe_prefill(prefill, now.since(begun).as_secs_f64());
        }
        self.last_prefill = now;
        self.streaming += 1;
        self.record_report(now);
    }

    /// Records that a request generated `tokens` tokens in `seconds`.
    pub(in crate::schedule) fn observe_step(&mut self, tokens: u32, seconds: f64) {
        let update_baseline = !self.health.is_suspended();
        self.speed.observe_step(tokens, seconds, self.streaming, update_baseline);
    }

    /// Updates the endpoint's health; `median` is the median slowdown of all endpoints.
    pub(in crate::schedule) fn update_health(
        &mut self,
        now: Timestamp,
        median: f64,
        params: &schedule::Params,
    ) {
        let slowdown = self.speed.slowdown() / median;
        let is_slow = self.streaming > 0 && slowdown >= params.straggler_ratio;
        let is_fast = self.streaming > 0 && slowdown <= params.recovery_ratio();
        let is_silent =
            self.running > 0 && now.since(self.last_report_at) > self.silence_timeout(params);
        self.health = match self.health {
            fleet::Health::Normal | fleet::Health::Trial if is_silent => {
                fleet::Health::suspended(fleet::Cause::Silent, now)
            }
            fleet::Health::Normal | fleet::Health::Trial if is_slow => {
                fleet::Health::suspended(fleet::Cause::Slow, now)
            }
            fleet::Health::Trial if is_fast => fleet::Health::Normal,
            fleet::Health::Suspended { cause, since, .. } => {
                self.recovered_health(now, cause, since, is_fast, params)
            }
            health => health,
        };
    }

    fn recovered_health(
        &mut self,
        now: Timestamp,
        cause: fleet::Cause,
        since: Timestamp,
        is_fast: bool,
        params: &schedule::Params,
    ) -> fleet::Health {
        let is_heard = self.last_report_at > since;
        if self.running == 0 && now.since(since) >= params.probe_interval {
            return fleet::Health::Trial;
        }
        if is_heard && (is_fast || cause == fleet::Cause::Silent) {
            return fleet::Health::Normal;
        }
        if is_heard && now.since(since) >= params.accept_after {
            self.speed.accept_recent();
            return fleet::Health::Normal;
        }
        self.health
    }

    /// Removes prompt tokens from the outstanding ones.
    pub(in crate::schedule) fn remove_prefill(
        &mut self,
        now: Timestamp,
        prefill: u32,
        is_long: bool,
    ) {
        self.pending_prefill = self.pending_prefill.saturating_sub(u64::from(prefill));
        self.long_prompts = self.long_prompts.saturating_sub(u32::from(is_long));
        let left = self.pending_prefill as f64 * self.speed.prefill_token_time();
        self.prefill_end = now + time::Duration::from_secs_f64(left);
    }

    /// Records that a report on one of the endpoint's requests arrived.
    pub(in crate::schedule) fn record_report(&mut self, now: Timestamp) {
        let report_gap = now.since(self.last_report_at).as_secs_f64();
        if self.running > 0 && report_gap > 0.0 && !self.health.is_suspended() {
            self.report_gap.observe(report_gap, 1.0);
        }
        self.last_report_at = now;
    }

    /// Removes a request that ended or whose permit was returned or expired.
    pub(in crate::schedule) fn release(
        &mut self,
        now: Timestamp,
        dispatched: Option<Timestamp>,
        streaming: bool,
    ) {
        if self.running >= self.slots {
            self.release_gap.observe(now.since(self.last_end).as_secs_f64(), 1.0);
        }
        self.last_end = now;
        self.running = self.running.saturating_sub(1);
        self.streaming = self.streaming.saturating_sub(u32::from(streaming));
        if let Some(dispatched) = dispatched {
            self.ended.push_back((dispatched, now));
        }
        while self.ended.front().is_some_and(|(_, end)| *end + ENDED_RETENTION < now) {
            self.ended.pop_front();
        }
    }

    /// Returns how long the endpoint may be silent before it is suspended.
    pub(in crate::schedule) fn silence_timeout(&self, params: &schedule::Params) -> time::Duration {
        let extended = time::Duration::from_secs_f64(self.report_gap.value() * 4.0);
        let prompt = time::Duration::from_secs_f64(
            2.0 * self.speed.prefill_token_time() * self.pending_prefill as f64,
        );
        params.silence_limit.max(extended) + prompt
    }

    /// Updates the number of external requests from a load report; `known` of the scheduler's own
    /// requests were in progress at the report's time.
    pub(in crate::schedule) fn update_external(&mut self, known: u32, report: &engine::LoadReport) {
        let shown = report.running + report.waiting;
        // A difference of one arises from the time between the report and the dispatches.
        let extra = shown.saturating_sub(known);
        self.external = if extra > 1 { extra } else { 0 };
    }

    /// Returns how many of the recently ended requests were in progress at `time`.
    pub(in crate::schedule) fn ended_after(&self, time: Timestamp) -> u32 {
        self.ended.iter().filter(|(dispatched, end)| *dispatched <= time && time < *end).count()
            as u32
    }

    /// Stores a load report and returns whether the endpoint made progress since the previous one.
    pub(in crate::schedule) fn record_load(&mut self, report: &engine::LoadReport) -> bool {
        let work = |report: &engine::LoadReport| {
            (report.queued_prefill, report.queued_decode, report.running, report.waiting)
        };
        let before = self.last_load.replace(*report);
        before.is_some_and(|before| work(&before) != work(report))
    }
}
