//! Handling of asks and of requests taken over.

use std::time;

use trefoildyke_types::{id, request, time::Timestamp};

use crate::schedule::{self, permitted, prefix, queue, shard::quarantine};

/// The share of the expected answer that surely must be generated after the request starts.
const CERTAIN_PART: f64 = 0.6;

impl schedule::Shard {
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        ask: request::Ask,
        outputs: &mut Vec<schedule::Output>,
    ) {
        if self.handle_repeat(now, &ask, outputs) {
            return;
        }
        if ask.left_ms == 0 {
            outputs.push(self.refuse_expired(&ask.key));
            return;
        }
        self.decide_blocks(now);
        let blocks = quarantine::shared_blocks(&prefix::checkpoints(&ask.prefix));
        if let Some(refusal) = self.refuse_quarantined(now, &ask, &blocks) {
            outputs.push(refusal);
            return;
        }
        if !self.make_room(now, &ask, outputs) {
            return;
        }
        let waiting = self.new_waiting(now, ask);
        if self.is_infeasible(now, &waiting) {
            outputs.push(self.refuse_infeasible(&waiting.ask.key));
            return;
        }
        if self.would_be_late(now, &waiting, self.params.shed_margin) {
            self.refuse_new(now, &waiting, outputs);
            return;
        }
        self.work_rates.record_arrival(now, waiting.ask.rank, waiting.cost);
        let weight = self.weight(&waiting.ask.key.account);
        self.queue.push(waiting, weight);
        self.may_grant = true;
    }

    /// Handles an ask for a request that is already known, and returns whether it is.
    fn handle_repeat(
        &mut self,
        now: Timestamp,
        ask: &request::Ask,
        outputs: &mut Vec<schedule::Output>,
    ) -> bool {
        if let Some(number) = self.queue.number(&ask.key) {
            if let Some(waiting) = self.queue.get_mut(number) {
                waiting.ask.coordinator = ask.coordinator;
            }
            return true;
        }
        let Some(permitted) = self.permitted.get(&ask.key) else { return false };
        let endpoint = self.fleet.get(permitted.endpoint);
        let is_usable = endpoint.is_some_and(|endpoint| !endpoint.leaving);
        if permitted.dispatched_at().is_none() && !is_usable {
            self.return_permit(now, &ask.key);
            return false;
        }
        outputs.push(schedule::Output::Grant(permitted.permit.clone()));
        true
    }

    /// Creates the queue entry of a request, with the estimates of its work.
    fn new_waiting(&self, now: Timestamp, mut ask: request::Ask) -> queue::Waiting {
        let checkpoints = prefix::checkpoints(&std::mem::take(&mut ask.prefix));
        let matches = self.index.matches(&checkpoints);
        let expected_tokens = self.lengths.predict(&ask.key.account, ask.rank, ask.max_tokens);
        let deadline = now + time::Duration::from_millis(ask.left_ms);
        let mut min_service = f64::INFINITY;
        let mut min_uncached = ask.prompt_tokens;
        let mut min_prefill = f64::INFINITY;
        for (index, endpoint) in self.fleet.iter() {
            let uncached = ask.prompt_tokens.saturating_sub(matches.get(index));
            let prefill_time = endpoint.speed.prefill_time(uncached);
            let decode = expected_tokens * CERTAIN_PART * endpoint.speed.step_time();
            min_uncached = min_uncached.min(uncached);
            min_prefill = min_prefill.min(prefill_time);
            min_service = min_service.min(prefill_time + decode);
        }
        // An idle pool tries every request. Otherwise a wrong estimate could refuse all requests
        // forever.
        let is_known = min_service.is_finite() && !self.permitted.is_empty();
        let min_service = if is_known { min_service } else { 0.0 };
        let max_wait = time::Duration::from_millis(ask.left_ms)
            .saturating_sub(time::Duration::from_secs_f64(min_service));
        queue::Waiting {
            cost: self.work_rates.cost(min_uncached, expected_tokens),
            is_long: min_prefill.is_finite()
                && min_prefill >= self.params.long_prefill.as_secs_f64(),
            latest_start: now + max_wait,
            ask,
            checkpoints,
            deadline,
            min_service,
            expected_tokens,
            held_since: None,
        }
    }

    /// Counts a request as running that another scheduler permitted.
    ///
    /// A coordinator that waits for a permit for it gets the permit of the running request. It finds the
    /// record of the dispatch and follows the answer.
    pub(super) fn take_over(
        &mut self,
        now: Timestamp,
        taken_over: schedule::TakenOver,
        outputs: &mut Vec<schedule::Output>,
    ) {
        let schedule::TakenOver { mut ask, endpoint, tokens } = taken_over;
        let Some(index) = self.fleet.index_of(&endpoint) else { return };
        if let Some(permitted) = self.permitted.get_mut(&ask.key) {
            // Another daemon has taken over the request.
            permitted.coordinator = ask.coordinator;
            return;
        }
        let asked = self.queue.number(&ask.key).and_then(|number| self.queue.take(number));
        let checkpoints = prefix::checkpoints(&std::mem::take(&mut ask.prefix));
        let phase = if tokens == 0 {
            permitted::Phase::Dispatched(now)
        } else {
            permitted::Phase::Streaming(now)
        };
        let prefill = if tokens == 0 { ask.prompt_tokens } else { 0 };
        let permit = self.permit(&ask, endpoint, 0);
        outputs.extend(asked.map(|_| schedule::Output::Grant(permit.clone())));
        let permitted = permitted::Permitted {
            permit,
            coordinator: ask.coordinator,
            endpoint: index,
            rank: ask.rank,
            fingerprint: ask.fingerprint,
            checkpoints,
            cost: 0.0,
            prefill,
            is_long: false,
            max_tokens: ask.max_tokens,
            tokens,
            last_report_at: now,
            phase,
            began_at: (tokens > 0).then_some(now),
            survived: false,
        };
        self.track_permitted(now, permitted);
    }

    pub(super) fn permit(
        &self,
        ask: &request::Ask,
        endpoint: id::EndpointName,
        cached_tokens: u32,
    ) -> request::Permit {
        request::Permit {
            key: ask.key.clone(),
            endpoint,
            ttl_ms: self.params.permit_ttl.as_millis() as u64,
            scheduler: self.scheduler,
            cached_tokens,
        }
    }
}
