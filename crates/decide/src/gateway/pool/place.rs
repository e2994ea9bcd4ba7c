//! Choosing the endpoint of a request.

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{Demand, Grant, Pool, pool::endpoint};

/// How much of the failures is usual, as a part of the answers, before it costs anything.
const USUAL_FAILURES: f64 = 0.1;

/// By how much more of its answers than usual an endpoint must fail to be given only one request at a
/// time, and only such as may be repeated.
///
/// The load that this answers: a burst on a service of which one endpoint fails at once whatever it is
/// sent, and so is the only one with free slots. Waiting for another is better than that. Well
/// above what eight answers vary by at the usual rate.
const FAILING: f64 = 0.4;

/// What an endpoint costs that is doubted, in milliseconds: it is chosen if nothing else is free.
const DOUBT_MS: f64 = 5_000.0;

/// How much of its time a full endpoint's next slot is away, in milliseconds a running request.
const CROWD_MS: f64 = 2.0;

impl Pool {
    /// Gives a request of a class the best free slot.
    pub(super) fn grant(&mut self, now: Timestamp, class: usize, demand: &Demand) -> Option<Grant> {
        let mut free = 0_usize;
        let mut best: Option<(f64, &id::EndpointName)> = None;
        let usual = self.usual();
        for (name, endpoint) in &self.endpoints {
            let load = self.load(name, endpoint);
            let room = self.room(now, endpoint, load, usual, demand.repeatable);
            free += room;
            if room == 0 || demand.tried.contains(name) || !self.suits(now, class, demand, endpoint)
            {
                continue;
            }
            if !self.begins_in_time(now, demand, endpoint, load) {
                continue;
            }
            let cost = self.cost(now, demand, endpoint, load, usual);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, name));
            }
        }
        if free <= self.reserve(now, demand.rank) {
            return None;
        }
        let name = best?.1.clone();
        self.start(now, name, demand)
    }

    /// Accounts for a request that goes to an endpoint.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        name: id::EndpointName,
        demand: &Demand,
    ) -> Option<Grant> {
        let load = self.load(&name, self.endpoints.get(&name)?);
        let age = self.peers.oldest().map_or(0, |heard| now.since(heard).as_millis());
        let endpoint = self.endpoints.get_mut(&name)?;
        let first = endpoint.prompt_ms(&self.params)
            * f64::from(load.prefill.saturating_add(demand.prompt));
        endpoint.start(now, demand.prompt, load);
        Some(Grant {
            endpoint: name,
            address: endpoint.address,
            prompt: demand.prompt,
            at: now,
            first_ms: first as u32,
            beside: load.running,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Takes the place that the daemon which places the service's requests has given.
    ///
    /// Returns `None` if the endpoint takes no work as far as this daemon knows.
    pub fn take(
        &mut self,
        now: Timestamp,
        name: &id::EndpointName,
        demand: &Demand,
    ) -> Option<Grant> {
        self.endpoints.get(name).filter(|endpoint| endpoint.is_usable(now))?;
        self.start(now, name.clone(), demand)
    }

    /// Returns what all daemons are believed to have at an endpoint.
    pub(super) fn load(
        &self,
        name: &id::EndpointName,
        endpoint: &endpoint::Endpoint,
    ) -> endpoint::Load {
        endpoint.own.plus(endpoint.promised).plus(self.peers.load(name))
    }

    /// Returns how many slots are free.
    pub(super) fn free(&self, now: Timestamp) -> usize {
        let usual = self.usual();
        let room = |(name, endpoint): (&id::EndpointName, &endpoint::Endpoint)| {
            self.room(now, endpoint, self.load(name, endpoint), usual, false)
        };
        self.endpoints.iter().map(room).sum()
    }

    /// Returns how many slots of an endpoint are free.
    fn room(
        &self,
        now: Timestamp,
        endpoint: &endpoint::Endpoint,
        load: endpoint::Load,
        usual: Usual,
        repeatable: bool,
    ) -> usize {
        if !endpoint.is_usable(now) {
            return 0;
        }
        let is_failing = endpoint.failure_part() > usual.failures + FAILING;
        if !is_failing && !endpoint.is_doubted(now, load, &self.params) {
            return endpoint.slots.saturating_sub(load.running) as usize;
        }
        // It is tried with one request that may be repeated.
        usize::from(repeatable && load.running == 0)
    }

    /// Returns how many slots a request of `rank` leaves free for more urgent ones.
    ///
    /// Only the last of several ranks does: with all slots in use by long answers, an urgent request
    /// waits for the next end, which the daemons hear of one after the other.
    pub(super) fn reserve(&self, now: Timestamp, rank: u8) -> usize {
        if !self.ranks.is_last(now, rank) {
            return 0;
        }
        let slots: u32 = self.endpoints.values().filter(|e| !e.draining).map(|e| e.slots).sum();
        (f64::from(slots) * self.params.reserve).round() as usize
    }

    /// Says whether the answer can be complete in time at this endpoint.
    ///
    /// An answer that is cut off at its deadline has held a slot for nothing, the longer the worse.
    pub(super) fn is_feasible(
        &self,
        now: Timestamp,
        demand: &Demand,
        endpoint: &endpoint::Endpoint,
    ) -> bool {
        let left = demand.deadline.since(now).as_secs_f64() * 1_000.0;
        demand.expected * endpoint.step_ms() <= left * self.params.feasible_part
    }

    /// Says whether the first event is expected before the caller leaves.
    ///
    /// What begins later has held a slot for nothing.
    fn begins_in_time(
        &self,
        now: Timestamp,
        demand: &Demand,
        endpoint: &endpoint::Endpoint,
        load: endpoint::Load,
    ) -> bool {
        let prompt = f64::from(load.prefill.saturating_add(demand.prompt));
        let read = prompt * endpoint.prompt_ms(&self.params);
        let begin = self.params.first_ms * endpoint.pace_ms() / self.params.step_ms;
        demand.gap.is_zero() || read + begin <= demand.patience(now).as_secs_f64() * 1_000.0
    }

    /// Says whether a request may go to an endpoint at all, if there is a slot.
    ///
    /// A long prompt that would stall the streams at a slow endpoint waits for a fast one, as long
    /// as it is not late.
    pub(super) fn suits(
        &self,
        now: Timestamp,
        class: usize,
        demand: &Demand,
        endpoint: &endpoint::Endpoint,
    ) -> bool {
        let is_late = class % 2 == 1;
        let limit = self.pause_limit(demand);
        let stalls = |endpoint: &endpoint::Endpoint| {
            f64::from(demand.prompt) * endpoint.prompt_ms(&self.params) > limit
        };
        if !self.is_feasible(now, demand, endpoint) {
            return false;
        }
        if is_late || !stalls(endpoint) {
            return true;
        }
        !self.endpoints.values().any(|other| other.is_usable(now) && !stalls(other))
    }

    /// Returns how long prompts may take at an endpoint before its streams pause, in milliseconds.
    fn pause_limit(&self, demand: &Demand) -> f64 {
        if demand.gap.is_zero() {
            return f64::INFINITY;
        }
        demand.gap.as_secs_f64() * 1_000.0 * self.params.pause_part
    }

    /// Returns what a placement costs, in milliseconds of delay.
    fn cost(
        &self,
        now: Timestamp,
        demand: &Demand,
        endpoint: &endpoint::Endpoint,
        load: endpoint::Load,
        usual: Usual,
    ) -> f64 {
        let prompt_ms = endpoint.prompt_ms(&self.params);
        let running = f64::from(load.running);
        let ahead = f64::from(load.prefill);
        let own = f64::from(demand.prompt) * prompt_ms;
        let first = ahead * prompt_ms + own;
        let beside = running * own * self.params.beside_weight;
        let pause = (first - self.pause_limit(demand)).max(0.0) * running;
        let fast = (usual.pace_ms / endpoint.pace_ms() - 1.0).max(0.0) * self.params.fast_ms;
        let zone = if endpoint.zone == demand.zone { 0.0 } else { self.params.zone_ms };
        let failures = endpoint.failure_part() - usual.failures - USUAL_FAILURES;
        let failures = failures.max(0.0) * self.params.failure_ms;
        let doubt = if endpoint.is_doubted(now, load, &self.params) { DOUBT_MS } else { 0.0 };
        first * self.params.first_weight
            + beside
            + pause * self.params.pause_weight
            + fast
            + running * CROWD_MS
            + zone
            + failures
            + doubt
    }

    /// Returns what is usual among the endpoints.
    fn usual(&self) -> Usual {
        let count = self.endpoints.len().max(1) as f64;
        let mean = |of: fn(&endpoint::Endpoint) -> f64| {
            self.endpoints.values().map(of).sum::<f64>() / count
        };
        Usual {
            failures: mean(endpoint::Endpoint::failure_part),
            pace_ms: mean(endpoint::Endpoint::pace_ms),
        }
    }
}

/// Holds means over the endpoints of a pool.
#[derive(Clone, Copy, Debug)]
struct Usual {
    /// The part of failed answers.
    failures: f64,
    /// The time between two tokens, in milliseconds.
    pace_ms: f64,
}
