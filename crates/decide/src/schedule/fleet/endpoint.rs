//! One endpoint as the scheduler knows it.

use std::{collections, time};

use trefoildyke_types::{engine, id, time::Timestamp};

use crate::schedule::{self, estimate, fleet};

/// How long ends of streams are remembered, for comparing with a late load report.
const MEMORY: time::Duration = time::Duration::from_secs(10);

/// The part of a long prompt's time that may still be left when the predicted end has come.
const OVERRUN: f64 = 0.25;

/// Holds what the scheduler knows of an endpoint: exactly what it permitted, what it learned of
/// the speed, and what load reports say beyond that.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Endpoint {
    pub(in crate::schedule) name: id::EndpointName,
    /// At least 1.
    pub(in crate::schedule) slots: u32,
    pub(in crate::schedule) leaving: bool,
    pub(in crate::schedule) health: fleet::Health,
    pub(in crate::schedule) rates: fleet::Rates,
    /// Permitted requests that have not ended; the sum over `permitted` of the shard.
    pub(in crate::schedule) running: u32,
    /// Of these, the ones that give tokens.
    pub(in crate::schedule) streaming: u32,
    /// Prompt tokens permitted and not known to be processed.
    pub(in crate::schedule) prefill: u64,
    /// Permitted long prompts that are not known to be processed.
    pub(in crate::schedule) long: u32,
    /// Requests that a load report shows and the scheduler does not know of.
    foreign: u32,
    /// When the outstanding prompts are expected to be processed.
    pub(in crate::schedule) prefill_end: Timestamp,
    /// When the first token of any stream came last.
    last_first: Timestamp,
    /// When anything was heard of the streams last.
    pub(in crate::schedule) last_heard: Timestamp,
    /// The time between two reports on the streams, in seconds.
    quiet: estimate::Mean,
    /// The time between two ends of streams, in seconds.
    turnover: estimate::Mean,
    last_end: Timestamp,
    /// The last streams' starts and ends, for comparing with a late load report.
    ended: collections::VecDeque<(Timestamp, Timestamp)>,
    last_report: Option<engine::LoadReport>,
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
            rates: fleet::Rates::new(params),
            running: 0,
            streaming: 0,
            prefill: 0,
            long: 0,
            foreign: 0,
            prefill_end: now,
            last_first: now,
            last_heard: now,
            quiet: estimate::Mean::new(0.05, 1.0, 50.0),
            turnover: estimate::Mean::new(0.1, 1.0, 20.0),
            last_end: now,
            ended: collections::VecDeque::new(),
            last_report: None,
        }
    }

    /// Says whether the endpoint may be considered at all.
    pub(in crate::schedule) const fn is_usable(&self) -> bool {
        !self.leaving && !self.health.is_suspended()
    }

    /// Says whether the endpoint can take one more request now.
    pub(in crate::schedule) fn is_open(&self, now: Timestamp, params: &schedule::Params) -> bool {
        self.is_usable()
            && self.running + self.foreign < self.limit()
            && self.backlog(now) <= params.prefill_queue.as_secs_f64()
    }

    /// Returns how many requests the endpoint may have at once.
    const fn limit(&self) -> u32 {
        if matches!(self.health, fleet::Health::Trial) { 1 } else { self.slots }
    }

    /// Returns how long the outstanding prompts will still take, in seconds.
    pub(in crate::schedule) fn backlog(&self, now: Timestamp) -> f64 {
        let left = self.prefill_end.since(now).as_secs_f64();
        if self.long == 0 {
            return left;
        }
        // A long prompt without its first token is not done, whatever was predicted.
        left.max(OVERRUN * self.rates.prefill_token() * self.prefill as f64)
    }

    /// Returns after how many seconds the endpoint is expected to be open, 0 if it is.
    pub(in crate::schedule) fn wait(&self, now: Timestamp, params: &schedule::Params) -> f64 {
        let full = self.running + self.foreign >= self.limit();
        let slot = if full { self.turnover.value() } else { 0.0 };
        slot.max(self.backlog(now) - params.prefill_queue.as_secs_f64()).max(0.0)
    }

    /// Returns how many tokens a second the endpoint generates with all slots in use.
    pub(in crate::schedule) fn capacity(&self) -> f64 {
        if self.is_usable() { f64::from(self.slots) / self.rates.step() } else { 0.0 }
    }

    /// Accounts for a request that was permitted.
    pub(in crate::schedule) fn permit(&mut self, now: Timestamp, prefill: u32, is_long: bool) {
        if self.running == 0 {
            self.last_heard = now;
        }
        self.running += 1;
        self.long += u32::from(is_long);
        self.prefill += u64::from(prefill);
        let length = time::Duration::from_secs_f64(self.rates.prefill(prefill));
        self.prefill_end = self.prefill_end.max(now) + length;
    }

    /// Accounts for a prompt that is processed; `sent` is when its request was dispatched.
    pub(in crate::schedule) fn first_token(
        &mut self,
        now: Timestamp,
        sent: Timestamp,
        prefill: u32,
    ) {
        let begun = self.last_first.max(sent);
        if self.last_first < now {
            self.rates.observe_prefill(prefill, now.since(begun).as_secs_f64());
        }
        self.last_first = now;
        self.streaming += 1;
        self.heard(now);
    }

    /// Takes in that a stream got `tokens` tokens in `seconds`.
    pub(in crate::schedule) fn observe_step(&mut self, tokens: u32, seconds: f64) {
        let is_usual = !self.health.is_suspended();
        self.rates.observe_step(tokens, seconds, self.streaming, is_usual);
    }

    /// Reviews the endpoint's health; `median` is its peers' slowness.
    pub(in crate::schedule) fn look(
        &mut self,
        now: Timestamp,
        median: f64,
        params: &schedule::Params,
    ) {
        let slowness = self.rates.slowness() / median;
        let is_slow = self.streaming > 0 && slowness >= params.straggler_ratio;
        let is_fast = self.streaming > 0 && slowness <= params.recovery_ratio();
        let is_silent = self.running > 0 && now.since(self.last_heard) > self.patience(params);
        self.health = match self.health {
            fleet::Health::Normal | fleet::Health::Trial if is_silent => {
                fleet::Health::suspended(fleet::Finding::Silent, now)
            }
            fleet::Health::Normal | fleet::Health::Trial if is_slow => {
                fleet::Health::suspended(fleet::Finding::Slow, now)
            }
            fleet::Health::Trial if is_fast => fleet::Health::Normal,
            fleet::Health::Suspended { finding, since, .. } => {
                self.recover(now, finding, since, is_fast, params)
            }
            health => health,
        };
    }

    fn recover(
        &mut self,
        now: Timestamp,
        finding: fleet::Finding,
        since: Timestamp,
        is_fast: bool,
        params: &schedule::Params,
    ) -> fleet::Health {
        let is_heard = self.last_heard > since;
        if self.running == 0 && now.since(since) >= params.probe_interval {
            return fleet::Health::Trial;
        }
        if is_heard && (is_fast || finding == fleet::Finding::Silent) {
            return fleet::Health::Normal;
        }
        if is_heard && now.since(since) >= params.accept_after {
            self.rates.accept();
            return fleet::Health::Normal;
        }
        self.health
    }

    /// Takes prompt tokens off the outstanding ones.
    pub(in crate::schedule) fn drop_prefill(
        &mut self,
        now: Timestamp,
        prefill: u32,
        is_long: bool,
    ) {
        self.prefill = self.prefill.saturating_sub(u64::from(prefill));
        self.long = self.long.saturating_sub(u32::from(is_long));
        let left = self.prefill as f64 * self.rates.prefill_token();
        self.prefill_end = now + time::Duration::from_secs_f64(left);
    }

    /// Notes that something was heard of the streams.
    pub(in crate::schedule) fn heard(&mut self, now: Timestamp) {
        let quiet = now.since(self.last_heard).as_secs_f64();
        if self.running > 0 && quiet > 0.0 && !self.health.is_suspended() {
            self.quiet.observe(quiet, 1.0);
        }
        self.last_heard = now;
    }

    /// Accounts for a request that ended, was handed back or lapsed.
    pub(in crate::schedule) fn release(
        &mut self,
        now: Timestamp,
        sent: Option<Timestamp>,
        streaming: bool,
    ) {
        if self.running >= self.slots {
            self.turnover.observe(now.since(self.last_end).as_secs_f64(), 1.0);
        }
        self.last_end = now;
        self.running = self.running.saturating_sub(1);
        self.streaming = self.streaming.saturating_sub(u32::from(streaming));
        if let Some(sent) = sent {
            self.ended.push_back((sent, now));
        }
        while self.ended.front().is_some_and(|(_, end)| *end + MEMORY < now) {
            self.ended.pop_front();
        }
    }

    /// Returns for how long the endpoint may be silent.
    pub(in crate::schedule) fn patience(&self, params: &schedule::Params) -> time::Duration {
        let usual = time::Duration::from_secs_f64(self.quiet.value() * 4.0);
        let prompt =
            time::Duration::from_secs_f64(2.0 * self.rates.prefill_token() * self.prefill as f64);
        params.silence_limit.max(usual) + prompt
    }

    /// Takes in how many requests a load report shows; `known` were in progress at its time.
    pub(in crate::schedule) fn correct(&mut self, known: u32, report: &engine::LoadReport) {
        let shown = report.running + report.waiting;
        // One more or less is the difference in time between the report and the dispatches.
        let extra = shown.saturating_sub(known);
        self.foreign = if extra > 1 { extra } else { 0 };
    }

    /// Returns how many streams that have ended were in progress at `time`.
    pub(in crate::schedule) fn ended_after(&self, time: Timestamp) -> u32 {
        self.ended.iter().filter(|(sent, end)| *sent <= time && time < *end).count() as u32
    }

    /// Remembers a load report and says whether the endpoint worked since the one before.
    pub(in crate::schedule) fn worked_since(&mut self, report: &engine::LoadReport) -> bool {
        let work = |report: &engine::LoadReport| {
            (report.queued_prefill, report.queued_decode, report.running, report.waiting)
        };
        let before = self.last_report.replace(*report);
        before.is_some_and(|before| work(&before) != work(report))
    }
}
