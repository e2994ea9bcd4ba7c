//! The engines of a run.

use std::{collections, time};

use trefoildyke_types::{engine, id, time::Timestamp};

use crate::{
    experiment::{arrivals, scenario},
    model,
};

/// Holds the engines and how much each has to do.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    engines: Vec<model::Engine>,
    /// Requests in progress of each engine.
    load: Vec<u32>,
    lost: Vec<bool>,
    /// When each engine is next looked at; other looks are void.
    looks: Vec<Option<Timestamp>>,
}

impl Pool {
    pub(super) fn new(scenario: &scenario::Scenario, seed: u64) -> Self {
        let engines: Vec<_> = all_params(scenario, seed).map(model::Engine::new).collect();
        let count = engines.len();
        Self { engines, load: vec![0; count], lost: vec![false; count], looks: vec![None; count] }
    }

    pub(super) fn is_lost(&self, endpoint: usize) -> bool {
        self.lost[endpoint]
    }

    /// Says whether an engine that refuses beyond `queue` waiting requests takes one more.
    pub(super) fn has_room(&self, endpoint: usize, queue: Option<u32>) -> bool {
        let slots = self.engines[endpoint].params().slots;
        queue.is_none_or(|queue| self.load[endpoint] < slots + queue)
    }

    pub(super) fn slots(&self, endpoint: usize) -> u32 {
        self.engines[endpoint].params().slots
    }

    /// Moves an engine to `now` and returns what happened on the way.
    pub(super) fn advance(&mut self, endpoint: usize, now: Timestamp) -> Vec<model::ModelEvent> {
        self.engines[endpoint].advance(now)
    }

    /// Returns when the engine is next to be looked at, if that has changed.
    pub(super) fn next_look(&mut self, endpoint: usize) -> Option<Timestamp> {
        let next = self.engines[endpoint].next_time();
        if next == self.looks[endpoint] {
            return None;
        }
        self.looks[endpoint] = next;
        next
    }

    /// Says whether a look at `now` is the one that is due, and takes it off.
    pub(super) fn take_look(&mut self, endpoint: usize, now: Timestamp) -> bool {
        let due = self.looks[endpoint] == Some(now);
        if due {
            self.looks[endpoint] = None;
        }
        due
    }

    pub(super) fn submit(&mut self, endpoint: usize, now: Timestamp, arrival: &arrivals::Arrival) {
        self.load[endpoint] += 1;
        self.engines[endpoint].submit(now, job(arrival));
    }

    pub(super) fn release(&mut self, endpoint: usize) {
        self.load[endpoint] -= 1;
    }

    pub(super) fn cancel(&mut self, endpoint: usize, now: Timestamp, key: &id::RequestKey) {
        self.engines[endpoint].cancel(now, key);
    }

    pub(super) fn set_mode(&mut self, endpoint: usize, now: Timestamp, mode: model::Mode) {
        self.engines[endpoint].set_mode(now, mode);
    }

    pub(super) fn lose(&mut self, endpoint: usize, now: Timestamp) {
        self.engines[endpoint].lose_all(now);
        self.lost[endpoint] = true;
    }

    pub(super) fn load_report(&self, endpoint: usize, now: Timestamp) -> engine::LoadReport {
        self.engines[endpoint].load(now)
    }

    pub(super) fn totals(&self) -> model::Totals {
        model::Ledger::fleet(self.engines.iter().map(model::Engine::ledger))
    }

    /// Returns how many requests were submitted more than once, over all engines.
    pub(super) fn doubled(&self) -> u64 {
        let mut starts = collections::HashMap::<&id::RequestKey, u32>::new();
        for engine in &self.engines {
            for (key, count) in &engine.ledger().starts {
                *starts.entry(key).or_default() += count;
            }
        }
        starts.values().filter(|count| **count > 1).count() as u64
    }
}

/// Returns the parameters of every engine of a scenario, in order.
pub(super) fn all_params(
    scenario: &scenario::Scenario,
    seed: u64,
) -> impl Iterator<Item = model::Params> {
    let groups = scenario.engines.iter();
    let each = groups.flat_map(|group| (0..group.count).map(move |_| group));
    each.enumerate().map(move |(at, group)| model::Params {
        seed: seed.wrapping_add(at as u64),
        ..params(group, &scenario.reports)
    })
}

/// Returns the parameters of an engine of `group`.
pub(super) fn params(
    group: &scenario::EngineGroup,
    reports: &scenario::ReportPlan,
) -> model::Params {
    let loss = if reports.cache_gaps > 0.0 { (1.0 / reports.cache_gaps).round() as u32 } else { 0 };
    model::Params {
        speed: group.speed,
        slots: group.slots,
        cache_blocks: group.cache_tokens / engine::BLOCK_TOKENS,
        event_lag: time::Duration::from_millis(reports.cache_lag_ms),
        event_loss: loss,
        report_lag: time::Duration::from_millis(reports.lag_ms),
        ..model::Params::default()
    }
}

/// Returns what an engine is given to do for a request.
pub(super) fn job(arrival: &arrivals::Arrival) -> model::Job {
    model::Job {
        key: arrival.key.clone(),
        prompt_tokens: arrival.prompt_tokens,
        prefix: arrival.prefix.to_vec(),
        max_tokens: arrival.max_tokens,
        output_tokens: arrival.output_tokens,
    }
}
