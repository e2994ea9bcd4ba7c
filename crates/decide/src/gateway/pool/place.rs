//! Choosing the endpoint of a request.

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self, Demand, Grant, Pool, Ticket,
    pool::{endpoint, load, usual, view},
};

/// How many waiting requests are looked at for the slots that are free: twice what a burst brought to
/// wait for fast endpoints at a service of 60 (grown sites, 50 long prompts a second, each for up to a
/// second).
const CANDIDATES: usize = 100;

/// How much of the failures is usual, as a part of the answers, before it costs anything.
const USUAL_FAILURES: f64 = 0.1;

/// What an endpoint costs that is doubted, in milliseconds: it is chosen if nothing else is free.
const DOUBT_MS: f64 = 5_000.0;

/// How much of its time a full endpoint's next slot is away, in milliseconds a running request.
const CROWD_MS: f64 = 2.0;

/// How fast it becomes unlikely that an answer is much longer than expected: one in 1 + x^1.8 is longer than x times
/// that. It is the tail of estimates that are right at the median and off by a factor of e (log-logistic).
const LENGTH_TAIL: f64 = 1.8;

impl Pool {
    /// Gives a request of a class the best free slot.
    pub(super) fn grant(&mut self, now: Timestamp, class: usize, demand: &Demand) -> Option<Grant> {
        let view = self.view(now);
        let name = self.pick(now, &view, class, demand)?.clone();
        let unread = self.endpoints.get(&name)?.unread(demand);
        self.note_placed(&name, demand);
        self.start(now, name, demand, unread)
    }

    /// Gives the first waiting request that can use one of the free slots the best of them.
    ///
    /// Those at the head may all wait for something else, such as a fast endpoint for their long
    /// prompts, while slots are free elsewhere; so a large part of the queue is looked at.
    pub(super) fn grant_first(&mut self, now: Timestamp) -> Option<(Ticket, Grant)> {
        if self.queue.len() == 0 {
            return None;
        }
        let view = self.view(now);
        if view.open.is_empty() && view.tried.is_empty() {
            return None;
        }
        let candidates = self.queue.iter().take(CANDIDATES);
        let fitting = |(ticket, class, demand): (Ticket, usize, &Demand)| {
            let name = self.pick(now, &view, class, demand)?;
            Some((ticket, name.clone(), demand.clone()))
        };
        let (ticket, name, demand) = candidates.filter_map(fitting).next()?;
        let unread = self.endpoints.get(&name)?.unread(&demand);
        self.note_placed(&name, &demand);
        let grant = self.start(now, name, &demand, unread)?;
        Some((ticket, grant))
    }

    /// Returns the endpoint whose free slot is the best for a request.
    fn pick<'a>(
        &self,
        now: Timestamp,
        view: &view::View<'a>,
        class: usize,
        demand: &Demand,
    ) -> Option<&'a id::EndpointName> {
        let is_tried = !view.tried.is_empty() && self.versions.allows(demand.route);
        let tried = is_tried
            .then(|| self.best(now, &view.tried, view, class, demand, |room| room.slots > 0));
        if let Some(tried) = tried.flatten() {
            return Some(tried);
        }
        let probes = view.open.iter().any(|open| open.room.is_probe && demand.repeatable);
        let is_kept = view.free <= self.reserve(now, demand.rank) && !probes;
        let has_slot = |room: view::Room| !is_kept && room.slots > 0;
        let free = self.best(now, &view.open, view, class, demand, has_slot);
        free.or_else(|| self.best(now, &view.open, view, class, demand, |room| room.is_next))
    }

    /// Returns the endpoint that is the best for a request among the `open` ones with room as `has_room` says, or that
    /// may be tried with it.
    fn best<'a>(
        &self,
        now: Timestamp,
        open: &[view::Open<'a>],
        view: &view::View<'a>,
        class: usize,
        demand: &Demand,
        has_room: impl Fn(view::Room) -> bool,
    ) -> Option<&'a id::EndpointName> {
        let mut best: Option<(f64, &id::EndpointName)> = None;
        for open in open {
            let is_open = has_room(open.room) || (open.room.is_probe && demand.repeatable);
            if !is_open || demand.tried.contains(open.name) {
                continue;
            }
            let unread = open.endpoint.unread(demand);
            let may = self.suits(now, class, demand, unread, open.endpoint, view.least_prompt_ms)
                && self.begins_in_time(now, demand, unread, open.endpoint, open.load);
            if !may {
                continue;
            }
            let cost = self.cost(now, demand, unread, open.endpoint, open.load, view.usual);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, open.name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Accounts for a request that goes to an endpoint, where `unread` tokens of its prompt have to be read.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        name: id::EndpointName,
        demand: &Demand,
        unread: u32,
    ) -> Option<Grant> {
        let age = self.peers.oldest().map_or(0, |heard| now.since(heard).as_millis());
        let endpoint = self.endpoints.get_mut(&name)?;
        let load = endpoint.load();
        let read = endpoint.prompt_ms() * f64::from(load.prefill.saturating_add(unread));
        let first = if demand.gap.is_zero() { read } else { read + endpoint.begin_ms() };
        endpoint.begin(now, demand, unread, load);
        Some(Grant {
            endpoint: name,
            start: endpoint.start,
            route: demand.route,
            address: endpoint.address,
            prompt: unread,
            at: now,
            first_ms: first as u32,
            beside: load.running,
            ahead: load.prefill,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Takes the place that the daemon which places the service's requests has given, and which assumes that `unread` tokens
    /// of the prompt have to be read there.
    ///
    /// Returns `None` if the endpoint takes no work as far as this daemon knows.
    pub fn take(
        &mut self,
        now: Timestamp,
        name: &id::EndpointName,
        demand: &Demand,
        unread: u32,
    ) -> Option<Grant> {
        let may_run = |endpoint: &&endpoint::Endpoint| {
            let access = self.versions.access(&endpoint.version);
            endpoint.is_usable(now) && access != gateway::Access::None
        };
        self.endpoints.get(name).filter(may_run)?;
        self.start(now, name.clone(), demand, unread.min(demand.prompt))
    }

    /// Returns how many slots a request of `rank` leaves free for more urgent ones.
    ///
    /// Only the last of several ranks does: with all slots in use by long answers, an urgent request
    /// waits for the next end, which the daemons hear of one after the other.
    pub(super) fn reserve(&self, now: Timestamp, rank: u8) -> usize {
        if !self.ranks.is_last(now, rank) {
            return 0;
        }
        (f64::from(self.usual.slots) * self.params.reserve).round() as usize
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
        unread: u32,
        endpoint: &endpoint::Endpoint,
        load: load::Load,
    ) -> bool {
        let prompt = f64::from(load.prefill.saturating_add(unread));
        let read = prompt * endpoint.prompt_ms();
        demand.gap.is_zero()
            || read + endpoint.begin_ms() <= demand.patience(now).as_secs_f64() * 1_000.0
    }

    /// Says whether a request may go to an endpoint at all, if there is a slot.
    ///
    /// A long prompt that would stall the streams at a slow endpoint waits for a fast one, as long
    /// as it is not late. `least_prompt_ms` is the time that the fastest takes for a prompt token.
    pub(super) fn suits(
        &self,
        now: Timestamp,
        class: usize,
        demand: &Demand,
        unread: u32,
        endpoint: &endpoint::Endpoint,
        least_prompt_ms: f64,
    ) -> bool {
        let is_late = class % 2 == 1;
        let limit = self.pause_limit(demand);
        let stalls = |prompt_ms: f64| f64::from(unread) * prompt_ms > limit;
        if !self.is_feasible(now, demand, endpoint) {
            return false;
        }
        is_late || !stalls(endpoint.prompt_ms()) || stalls(least_prompt_ms)
    }

    /// Returns how long prompts may take at an endpoint before its streams pause, in milliseconds.
    fn pause_limit(&self, demand: &Demand) -> f64 {
        if demand.gap.is_zero() {
            return f64::INFINITY;
        }
        demand.gap.as_secs_f64() * 1_000.0 * self.params.pause_part
    }

    /// Returns how likely the answer is not to be complete in time at an endpoint.
    ///
    /// The load that this answers: answers a few times as long as expected, at an endpoint a few times as slow as
    /// the others, end after their callers have left; they are the largest of their kind.
    fn overrun(&self, now: Timestamp, demand: &Demand, endpoint: &endpoint::Endpoint) -> f64 {
        let left = demand.deadline.since(now).as_secs_f64() * 1_000.0;
        let whole = demand.expected * endpoint.step_ms();
        if whole <= 0.0 { 0.0 } else { 1.0 / (1.0 + (left / whole).powf(LENGTH_TAIL)) }
    }

    /// Returns what a placement costs, in milliseconds of delay.
    fn cost(
        &self,
        now: Timestamp,
        demand: &Demand,
        unread: u32,
        endpoint: &endpoint::Endpoint,
        load: load::Load,
        usual: usual::Usual,
    ) -> f64 {
        let prompt_ms = endpoint.prompt_ms();
        let running = f64::from(load.running);
        let ahead = f64::from(load.prefill);
        let own = f64::from(unread) * prompt_ms;
        let first = ahead * prompt_ms + own;
        let displaced = f64::from(endpoint.displaced(now, unread)) * prompt_ms;
        let beside = running * own * self.params.beside_weight;
        let pause = (first - self.pause_limit(demand)).max(0.0) * running;
        let fast = (usual.pace_ms / endpoint.pace_ms() - 1.0).max(0.0) * self.params.fast_ms;
        let zone = if endpoint.zone == demand.zone { 0.0 } else { self.params.zone_ms };
        let failures = endpoint.failure_part() - usual.failures - USUAL_FAILURES;
        let failures = failures.max(0.0) * self.params.failure_ms;
        let doubt = if endpoint.is_doubted(now, load, &self.params) { DOUBT_MS } else { 0.0 };
        first * self.params.first_weight
            + beside
            + displaced * self.params.displaced_weight
            + pause * self.params.pause_weight
            + fast
            + running * CROWD_MS
            + zone
            + failures
            + doubt
            + self.overrun(now, demand, endpoint) * self.params.failure_ms
    }
}
