//! One endpoint as a daemon knows it.

use std::{net, time};

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self,
    pool::{assumed, kept, line, load::Load, mean, rate_limit, state, versions},
};

#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub(super) address: net::SocketAddr,
    pub(super) zone: id::ZoneName,
    /// Which start of the endpoint this is.
    pub(super) start: u64,
    /// The version of its software.
    pub(super) version: id::VersionName,
    /// At least 1.
    pub(super) slots: u32,
    pub(super) draining: bool,
    /// What this daemon has sent.
    pub(super) own: Load,
    /// The part of it that the others were told last.
    told: Load,
    /// What other daemons were given and have not reported yet.
    pub(super) promised: Load,
    /// What other daemons have reported; the sum of their latest reports.
    pub(super) others: Load,
    /// What it has kept of prompts.
    kept: kept::Kept,
    /// The time between two tokens, in milliseconds.
    step: mean::Mean,
    /// The time between two tokens where no prompt is read in between, in milliseconds.
    pace: mean::Low,
    /// The time to a first event by thousands of prompt tokens, in times between two tokens.
    first: line::Line,
    /// The part of the answers that were failures or broken.
    failures: mean::Mean,
    /// The request rate limit that the endpoint reports in its answers.
    pub(super) rate_limit: rate_limit::RateLimit,
    /// What was seen here and the others have not been told.
    learned: gateway::Learned,
    /// The answers that the others have not been told of, by route.
    pub(super) answers: versions::Untold,
    /// When anything came from the endpoint, or work was sent to it after it had none.
    heard: Timestamp,
    /// When anything came from the endpoint.
    spoke: Option<Timestamp>,
    /// Until when it gets no work.
    paused_until: Timestamp,
    /// Failed connections and rejections in a row.
    strikes: u32,
}

/// Longer gaps count as this, so that one pause is soon forgotten; milliseconds a token.
const LONGEST_STEP_MS: f64 = 100.0;

/// Over how many events the step time is followed: about two streams.
const STEP_WINDOW: f64 = 60.0;

/// An endpoint that has spoken to some daemon so recently is not left alone because another one was
/// refused there.
const ALIVE: time::Duration = time::Duration::from_millis(300);

/// Over how many answers failures are followed.
const FAILURE_WINDOW: f64 = 8.0;

/// Prompts are followed in thousands of tokens.
const KILO: f64 = 1_000.0;

impl Endpoint {
    pub(super) fn new(
        now: Timestamp,
        entry: &gateway::RosterEntry,
        assumed: assumed::Assumed,
        kept_tokens: u32,
    ) -> Self {
        Self {
            address: entry.address,
            zone: entry.zone.clone(),
            start: entry.start,
            version: entry.version.clone(),
            slots: entry.slots.max(1),
            draining: entry.draining,
            own: Load::default(),
            told: Load::default(),
            promised: Load::default(),
            others: Load::default(),
            kept: kept::Kept::new(kept_tokens),
            step: mean::Mean::new(assumed.step_ms, STEP_WINDOW),
            pace: mean::Low(assumed.step_ms),
            first: line::Line::new(assumed.begin, assumed.prompt * KILO),
            failures: mean::Mean::new(0.0, FAILURE_WINDOW),
            rate_limit: rate_limit::RateLimit::default(),
            learned: gateway::Learned::default(),
            answers: versions::Untold::default(),
            heard: now,
            spoke: None,
            paused_until: Timestamp::ZERO,
            strikes: 0,
        }
    }

    pub(super) fn update(&mut self, entry: &gateway::RosterEntry) {
        self.address = entry.address;
        self.zone = entry.zone.clone();
        self.version = entry.version.clone();
        self.slots = entry.slots.max(1);
        self.draining = entry.draining;
    }

    /// Notes a request that is sent there, where `load` is believed to be already and of whose prompt `unread` tokens are
    /// not kept.
    pub(super) fn begin(
        &mut self,
        now: Timestamp,
        demand: &gateway::Demand,
        unread: u32,
        load: Load,
    ) {
        if load.running == 0 {
            self.heard = now;
        }
        self.own.add(unread);
        self.rate_limit.count_request(now);
        self.kept.note(now, &demand.parts);
    }

    /// Returns how many tokens that others are likely to ask for again have to go if `unread` more are read.
    pub(super) fn displaced(&self, now: Timestamp, unread: u32) -> u32 {
        self.kept.displaced(now, unread)
    }

    /// Returns how many tokens of a request's prompt have to be read here.
    pub(super) fn unread(&self, demand: &gateway::Demand) -> u32 {
        demand.prompt.saturating_sub(self.kept.longest(&demand.parts))
    }

    fn hear(&mut self, now: Timestamp) {
        self.heard = now;
        self.spoke = Some(now);
    }

    /// Takes in what another daemon has seen.
    pub(super) fn learn(
        &mut self,
        now: Timestamp,
        load: &gateway::EndpointLoad,
        params: &gateway::PoolParams,
    ) {
        let learned = &load.learned.unwrap_or_default();
        let silent = time::Duration::from_millis(u64::from(load.silent_ms));
        let heard =
            Timestamp::from_micros(now.as_micros().saturating_sub(silent.as_micros() as u64));
        if load.running > 0 || learned.served > 0 || learned.steps > 0 {
            self.heard = self.heard.max(heard);
            self.spoke = self.spoke.max(Some(heard));
        }
        if learned.served > 0 || learned.steps > 0 {
            self.strikes = 0;
        }
        self.step.observe_many(f64::from(learned.step_ms), learned.steps);
        if learned.steps > 0 {
            self.pace.observe(f64::from(learned.least_ms));
        }
        if let Some(firsts) = &learned.firsts {
            self.first.observe(firsts);
        }
        self.failures.observe_many(0.0, learned.served);
        self.failures.observe_many(1.0, learned.failed);
        // One daemon may be cut off alone; what speaks to others is not to be left alone for it.
        let is_alive = self.spoke.is_some_and(|spoke| now.since(spoke) < ALIVE);
        if learned.refused > 0 && !is_alive {
            self.pause(now, params);
        }
    }

    /// Describes what this daemon has at the endpoint, and takes it as told; `None` if there is nothing to tell.
    ///
    /// Only what has changed is told if `all` is not set.
    pub(super) fn tell(
        &mut self,
        now: Timestamp,
        name: &id::EndpointName,
        all: bool,
    ) -> Option<gateway::EndpointLoad> {
        let has_changed = std::mem::replace(&mut self.told, self.own) != self.own;
        let learned = std::mem::take(&mut self.learned);
        let learned = (!learned.is_empty()).then_some(learned);
        let answers = self.answers.take();
        let rate_limit = self.rate_limit.report(now);
        let has_limit_change = self.rate_limit.take_unreported_change();
        let has_news = has_changed || has_limit_change || learned.is_some() || !answers.is_empty();
        let is_told = has_news || (all && (self.own.running > 0 || rate_limit.is_some()));
        is_told.then(|| gateway::EndpointLoad {
            learned,
            rate_limit,
            answers,
            ..self.report(now, name)
        })
    }

    pub(super) fn first(&mut self, now: Timestamp, grant: &gateway::Grant, prompt: u32) {
        self.hear(now);
        // What others' prompts took is not known, so only first events are taken that had none ahead.
        if grant.prompt > 0 && grant.ahead == 0 {
            let took = now.since(grant.at).as_secs_f64() * 1_000.0;
            let seen = gateway::Firsts::one(f64::from(grant.prompt) / KILO, took / self.pace.0);
            self.first.observe(&seen);
            self.learned.firsts.get_or_insert_default().add(&seen);
        }
        self.strikes = 0;
        self.own.prefill = self.own.prefill.saturating_sub(prompt);
    }

    pub(super) fn event(&mut self, now: Timestamp, step_ms: f64) {
        self.hear(now);
        let step_ms = step_ms.min(LONGEST_STEP_MS);
        self.step.observe(step_ms);
        self.pace.observe(step_ms);
        self.learned.note_step(step_ms);
    }

    pub(super) fn end(
        &mut self,
        now: Timestamp,
        prompt: u32,
        outcome: gateway::Outcome,
        params: &gateway::PoolParams,
    ) {
        self.own.remove(prompt);
        match outcome {
            gateway::Outcome::Served => {
                self.hear(now);
                self.strikes = 0;
                self.learned.served = self.learned.served.saturating_add(1);
                self.failures.observe(0.0);
            }
            gateway::Outcome::Failed => {
                self.hear(now);
                self.learned.failed = self.learned.failed.saturating_add(1);
                self.failures.observe(1.0);
            }
            gateway::Outcome::Lost => {
                self.learned.failed = self.learned.failed.saturating_add(1);
                self.failures.observe(1.0);
            }
            gateway::Outcome::Rejected | gateway::Outcome::Unreachable => {
                self.learned.refused = self.learned.refused.saturating_add(1);
                self.pause(now, params);
            }
            gateway::Outcome::Cancelled | gateway::Outcome::Unused => {}
        }
    }

    fn pause(&mut self, now: Timestamp, params: &gateway::PoolParams) {
        let factor = 1_u32 << self.strikes.min(4);
        self.strikes += 1;
        self.paused_until = now + (params.pause * factor).min(params.longest_pause);
    }

    /// Returns what all daemons are believed to have here.
    pub(super) const fn load(&self) -> Load {
        self.own.plus(self.promised).plus(self.others)
    }

    /// Says whether new work may go here at all.
    pub(super) fn is_usable(&self, now: Timestamp) -> bool {
        !self.draining && now >= self.paused_until
    }

    /// Returns for how long the endpoint has said nothing though it has `load`.
    pub(super) fn silence(&self, now: Timestamp, load: Load) -> time::Duration {
        if load.running == 0 { time::Duration::ZERO } else { now.since(self.heard) }
    }

    /// Says whether the endpoint is doubted: it gets one request at a time, to find out.
    pub(super) fn is_doubted(
        &self,
        now: Timestamp,
        load: Load,
        params: &gateway::PoolParams,
    ) -> bool {
        let prompt = f64::from(load.prefill) * self.prompt_ms() * 3.0;
        let patience = params.silence + time::Duration::from_secs_f64(prompt / 1_000.0);
        self.strikes > 0 || self.silence(now, load) > patience
    }

    pub(super) const fn step_ms(&self) -> f64 {
        self.step.value()
    }

    pub(super) const fn pace_ms(&self) -> f64 {
        self.pace.0
    }

    /// Returns how long a prompt token takes, in milliseconds.
    pub(super) fn prompt_ms(&self) -> f64 {
        self.first.slope() / KILO * self.pace.0
    }

    /// Returns how long a first event takes beside the prompts, in milliseconds.
    pub(super) fn begin_ms(&self) -> f64 {
        self.first.base() * self.pace.0
    }

    pub(super) const fn failure_part(&self) -> f64 {
        self.failures.value()
    }

    /// Describes what this daemon has at the endpoint.
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
        }
    }

    pub(super) fn state(&self, now: Timestamp, name: &id::EndpointName) -> state::EndpointState {
        state::EndpointState {
            endpoint: name.clone(),
            own: self.own.running,
            others: self.others.running,
            step_ms: self.step.value(),
            failures: self.failures.value(),
            silent_ms: self.silence(now, self.own).as_millis() as u64,
        }
    }
}
