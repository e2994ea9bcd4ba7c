//! The choice of the endpoint of a request.

use trefoildyke_types::{id, time::Timestamp};

use crate::gateway::{
    self, Grant, Pool, PoolRequest, Ticket,
    pool::{averages, endpoint, load, view},
};

/// How many waiting requests are considered for the free slots: twice the number that waited for fast
/// endpoints during a burst at a service of 60 endpoints (50 long prompts per second, each waiting for up
/// to a second).
const MAX_CONSIDERED: usize = 100;

/// The failure rate above the average that costs nothing, as a fraction of the answers.
const TOLERATED_FAILURES: f64 = 0.1;

/// The cost of an endpoint that is suspected to have failed, in milliseconds. It is chosen only if no other
/// is free.
const SUSPECT_COST_MS: f64 = 5_000.0;

/// The cost of each request that already runs at an endpoint, in milliseconds: once all slots are taken,
/// requests wait for the next one that becomes free.
const RUNNING_COST_MS: f64 = 2.0;

/// The exponent of the tail of answer lengths: an answer is longer than x times its expected length with a
/// probability of 1 in 1 + x^1.8. This is the log-logistic distribution of estimates that are right at the
/// median and off by a factor of e.
const LENGTH_TAIL: f64 = 1.8;

impl Pool {
    /// Grants a request of a class the best free slot.
    pub(super) fn grant(
        &mut self,
        now: Timestamp,
        class: usize,
        request: &PoolRequest,
    ) -> Option<Grant> {
        let view = self.view(now);
        let name = self.select_endpoint(now, &view, class, request)?.clone();
        let uncached = self.endpoints.get(&name)?.uncached_tokens(request);
        self.record_placement(&name, request);
        self.start_request(now, name, request, uncached)
    }

    /// Grants the first waiting request that can use a free slot the best one.
    ///
    /// Requests at the head of the queue may all wait for something else, such as a fast endpoint for their
    /// long prompts, while other slots are free. So a large part of the queue is considered.
    pub(super) fn grant_first(&mut self, now: Timestamp) -> Option<(Ticket, Grant)> {
        if self.queue.len() == 0 {
            return None;
        }
        let view = self.view(now);
        if view.candidates.is_empty() && view.canaries.is_empty() {
            return None;
        }
        let requests = self.queue.iter().take(MAX_CONSIDERED);
        let select = |(ticket, class, request): (Ticket, usize, &PoolRequest)| {
            let name = self.select_endpoint(now, &view, class, request)?;
            Some((ticket, name.clone(), request.clone()))
        };
        let (ticket, name, request) = requests.filter_map(select).next()?;
        let uncached = self.endpoints.get(&name)?.uncached_tokens(&request);
        self.record_placement(&name, &request);
        let grant = self.start_request(now, name, &request, uncached)?;
        Some((ticket, grant))
    }

    /// Returns the endpoint whose free slot is the best for a request.
    fn select_endpoint<'a>(
        &self,
        now: Timestamp,
        view: &view::View<'a>,
        class: usize,
        request: &PoolRequest,
    ) -> Option<&'a id::EndpointName> {
        // A stream that the canary began can go on nowhere else.
        let may_use_canary = !view.canaries.is_empty()
            && (request.version.is_some() || self.versions.allows_canary(request.route));
        let canary = may_use_canary
            .then(|| self.best(now, &view.canaries, view, class, request, |it| it.slots > 0));
        if let Some(canary) = canary.flatten() {
            return Some(canary);
        }
        let may_probe = view
            .candidates
            .iter()
            .any(|candidate| candidate.capacity.can_probe && request.repeatable);
        // Slots are not reserved against the rest of begun work.
        let is_reserved = view.free_slots <= self.reserved_slots(now, request.rank)
            && !may_probe
            && request.version.is_none();
        let has_slot = |capacity: view::Capacity| !is_reserved && capacity.slots > 0;
        let slot = self.best(now, &view.candidates, view, class, request, has_slot);
        slot.or_else(|| self.best(now, &view.candidates, view, class, request, |it| it.can_queue))
    }

    /// Returns the best endpoint for a request among the `candidates` that have capacity according to
    /// `has_capacity` or that may be probed with the request.
    fn best<'a>(
        &self,
        now: Timestamp,
        candidates: &[view::Candidate<'a>],
        view: &view::View<'a>,
        class: usize,
        request: &PoolRequest,
        has_capacity: impl Fn(view::Capacity) -> bool,
    ) -> Option<&'a id::EndpointName> {
        let mut best: Option<(f64, &id::EndpointName)> = None;
        for candidate in candidates {
            let is_available = has_capacity(candidate.capacity)
                || (candidate.capacity.can_probe && request.repeatable);
            if !is_available
                || request.tried.contains(candidate.name)
                || !request.fits(&candidate.endpoint.version)
            {
                continue;
            }
            let uncached = candidate.endpoint.uncached_tokens(request);
            let is_suitable = self.is_eligible(
                now,
                class,
                request,
                uncached,
                candidate.endpoint,
                view.least_prompt_ms,
            ) && self.begins_in_time(
                now,
                request,
                uncached,
                candidate.endpoint,
                candidate.load,
            );
            if !is_suitable {
                continue;
            }
            let cost = self.cost(
                now,
                request,
                uncached,
                candidate.endpoint,
                candidate.load,
                view.averages,
            );
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, candidate.name));
            }
        }
        best.map(|(_, name)| name)
    }

    /// Records that a request is sent to an endpoint that has to read `uncached` tokens of its prompt.
    pub(super) fn start_request(
        &mut self,
        now: Timestamp,
        name: id::EndpointName,
        request: &PoolRequest,
        uncached: u32,
    ) -> Option<Grant> {
        let age = self
            .peer_loads
            .oldest_report()
            .map_or(0, |received_at| now.since(received_at).as_millis());
        let endpoint = self.endpoints.get_mut(&name)?;
        let load = endpoint.load();
        let read_ms = endpoint.prompt_ms() * f64::from(load.prefill.saturating_add(uncached));
        let first_ms =
            if request.max_pause.is_zero() { read_ms } else { read_ms + endpoint.overhead_ms() };
        endpoint.add_request(now, request, uncached, load);
        Some(Grant {
            endpoint: name,
            start: endpoint.start,
            version: endpoint.version.clone(),
            route: request.route,
            address: endpoint.address,
            prompt: uncached,
            at: now,
            first_ms: first_ms as u32,
            running: load.running,
            queued_tokens: load.prefill,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Takes a slot that was granted by the daemon that places the service's requests. That daemon assumes
    /// that `uncached` tokens of the prompt have to be read there.
    ///
    /// Returns `None` if the endpoint accepts no requests as far as this daemon knows.
    pub fn accept_grant(
        &mut self,
        now: Timestamp,
        name: &id::EndpointName,
        request: &PoolRequest,
        uncached: u32,
    ) -> Option<Grant> {
        let may_run = |endpoint: &&endpoint::Endpoint| {
            let access = self.versions.access(&endpoint.version);
            endpoint.is_usable(now)
                && access != gateway::Access::None
                && request.fits(&endpoint.version)
                && self.restrictions.backoff(now, name, endpoint.start).is_none()
        };
        self.endpoints.get(name).filter(may_run)?;
        self.start_request(now, name.clone(), request, uncached.min(request.prompt))
    }

    /// Returns how many slots a request of `rank` leaves free for more urgent ones.
    ///
    /// Only the last of several ranks leaves slots free. If long answers used all slots, an urgent request
    /// would wait for the next one to end, which the daemons learn of one after the other.
    pub(super) fn reserved_slots(&self, now: Timestamp, rank: u8) -> usize {
        if !self.recent_ranks.is_last(now, rank) {
            return 0;
        }
        (f64::from(self.averages.slots) * self.params.reserve).round() as usize
    }

    /// Returns whether the answer can be complete in time at this endpoint.
    ///
    /// An answer that is cut off at its deadline wastes its slot, the more the longer it runs.
    pub(super) fn is_feasible(
        &self,
        now: Timestamp,
        request: &PoolRequest,
        endpoint: &endpoint::Endpoint,
    ) -> bool {
        let left_ms = request.deadline.since(now).as_secs_f64() * 1_000.0;
        request.expected_tokens * endpoint.step_ms() <= left_ms * self.params.feasible_part
    }

    /// Returns whether the first event is expected before the caller leaves.
    ///
    /// A request that begins later wastes its slot.
    fn begins_in_time(
        &self,
        now: Timestamp,
        request: &PoolRequest,
        uncached: u32,
        endpoint: &endpoint::Endpoint,
        load: load::Load,
    ) -> bool {
        let prompt = f64::from(load.prefill.saturating_add(uncached));
        let read_ms = prompt * endpoint.prompt_ms();
        request.max_pause.is_zero()
            || read_ms + endpoint.overhead_ms() <= request.patience(now).as_secs_f64() * 1_000.0
    }

    /// Returns whether a request may go to an endpoint at all if a slot is free.
    ///
    /// A long prompt that would delay the streams at a slow endpoint waits for a fast one, unless it is
    /// late. `least_prompt_ms` is the time that the fastest endpoint takes to read a prompt token.
    pub(super) fn is_eligible(
        &self,
        now: Timestamp,
        class: usize,
        request: &PoolRequest,
        uncached: u32,
        endpoint: &endpoint::Endpoint,
        least_prompt_ms: f64,
    ) -> bool {
        let is_late = class % 2 == 1;
        let limit = self.pause_limit(request);
        let stalls = |prompt_ms: f64| f64::from(uncached) * prompt_ms > limit;
        if !self.is_feasible(now, request, endpoint) {
            return false;
        }
        is_late || !stalls(endpoint.prompt_ms()) || stalls(least_prompt_ms)
    }

    /// Returns how long reading prompts may take at an endpoint before its callers notice a pause, in
    /// milliseconds.
    fn pause_limit(&self, request: &PoolRequest) -> f64 {
        if request.max_pause.is_zero() {
            return f64::INFINITY;
        }
        request.max_pause.as_secs_f64() * 1_000.0 * self.params.pause_part
    }

    /// Returns the probability that the answer is not complete in time at an endpoint.
    ///
    /// This guards against answers a few times as long as expected at an endpoint a few times as slow as
    /// the others. They end after their callers have left, and they are the largest answers of their kind.
    fn overrun_probability(
        &self,
        now: Timestamp,
        request: &PoolRequest,
        endpoint: &endpoint::Endpoint,
    ) -> f64 {
        let left_ms = request.deadline.since(now).as_secs_f64() * 1_000.0;
        let answer_ms = request.expected_tokens * endpoint.step_ms();
        if answer_ms <= 0.0 { 0.0 } else { 1.0 / (1.0 + (left_ms / answer_ms).powf(LENGTH_TAIL)) }
    }

    /// Returns the cost of a placement, in milliseconds of delay.
    fn cost(
        &self,
        now: Timestamp,
        request: &PoolRequest,
        uncached: u32,
        endpoint: &endpoint::Endpoint,
        load: load::Load,
        averages: averages::Averages,
    ) -> f64 {
        let prompt_ms = endpoint.prompt_ms();
        let running = f64::from(load.running);
        let ahead = f64::from(load.prefill);
        let own_read_ms = f64::from(uncached) * prompt_ms;
        let read_ms = ahead * prompt_ms + own_read_ms;
        let reread_ms = f64::from(endpoint.evicted_tokens(now, uncached)) * prompt_ms;
        let stream_delay = running * own_read_ms * self.params.beside_weight;
        let pause = (read_ms - self.pause_limit(request)).max(0.0) * running;
        let speed =
            (averages.base_step_ms / endpoint.base_step_ms() - 1.0).max(0.0) * self.params.fast_ms;
        let zone = if endpoint.zone == request.zone { 0.0 } else { self.params.zone_ms };
        let failures = endpoint.failure_rate() - averages.failure_rate - TOLERATED_FAILURES;
        let failures = failures.max(0.0) * self.params.failure_ms;
        let suspect =
            if endpoint.is_suspect(now, load, &self.params) { SUSPECT_COST_MS } else { 0.0 };
        read_ms * self.params.first_weight
            + stream_delay
            + reread_ms * self.params.eviction_weight
            + pause * self.params.pause_weight
            + speed
            + running * RUNNING_COST_MS
            + zone
            + failures
            + suspect
            + self.overrun_probability(now, request, endpoint) * self.params.failure_ms
    }
}
