//! How asks and adopted work are taken in.

use std::time;

use trefoildyke_types::{id, request, time::Timestamp};

use crate::schedule::{self, permitted, prefix, queue};

/// The part of the expected answer that is surely still to be generated when a request starts.
const SURE_PART: f64 = 0.6;

impl schedule::Shard {
    pub(super) fn ask(
        &mut self,
        now: Timestamp,
        ask: request::Ask,
        outputs: &mut Vec<schedule::Output>,
    ) {
        if self.ask_again(now, &ask, outputs) {
            return;
        }
        if ask.left_ms == 0 {
            outputs.push(self.refuse_late(&ask.key));
            return;
        }
        if !self.make_room(now, &ask, outputs) {
            return;
        }
        let waiting = self.describe(now, ask);
        if self.is_infeasible(now, &waiting) {
            outputs.push(self.refuse_infeasible(&waiting.ask.key));
            return;
        }
        if self.is_hopeless(now, &waiting, self.params.shed_margin) {
            self.refuse_new(now, &waiting, outputs);
            return;
        }
        self.flow.arrive(now, waiting.ask.rank, waiting.cost);
        let weight = self.weight(&waiting.ask.key.account);
        self.queue.push(waiting, weight);
        self.is_changed = true;
    }

    /// Answers an ask for a request that is known; says whether it was one.
    fn ask_again(
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
        if permitted.sent().is_none() && !is_usable {
            self.hand_back(now, &ask.key);
            return false;
        }
        outputs.push(schedule::Output::Grant(permitted.permit.clone()));
        true
    }

    /// Describes a request to the queue.
    fn describe(&self, now: Timestamp, mut ask: request::Ask) -> queue::Waiting {
        let checkpoints = prefix::checkpoints(&std::mem::take(&mut ask.prefix));
        let matches = self.index.matches(&checkpoints);
        let expected = self.lengths.expect(&ask.key.account, ask.rank, ask.max_tokens);
        let deadline = now + time::Duration::from_millis(ask.left_ms);
        let mut service = f64::INFINITY;
        let mut uncached = ask.prompt_tokens;
        let mut prefill = f64::INFINITY;
        for (number, endpoint) in self.fleet.iter() {
            let left = ask.prompt_tokens.saturating_sub(matches.get(number));
            let length = endpoint.rates.prefill(left);
            let decode = expected * SURE_PART * endpoint.rates.step();
            uncached = uncached.min(left);
            prefill = prefill.min(length);
            service = service.min(length + decode);
        }
        // An idle pool tries every request: else a wrong estimate could refuse all for good.
        let is_known = service.is_finite() && !self.permitted.is_empty();
        let service = if is_known { service } else { 0.0 };
        let start = time::Duration::from_millis(ask.left_ms)
            .saturating_sub(time::Duration::from_secs_f64(service));
        queue::Waiting {
            cost: self.flow.cost(uncached, expected),
            is_long: prefill.is_finite() && prefill >= self.params.long_prefill.as_secs_f64(),
            latest: now + start,
            ask,
            checkpoints,
            deadline,
            service,
            expected,
            held: None,
        }
    }

    pub(super) fn adopt(&mut self, now: Timestamp, adopted: schedule::Adopted) {
        let schedule::Adopted { mut ask, endpoint, tokens } = adopted;
        let Some(number) = self.fleet.number(&endpoint) else { return };
        if let Some(permitted) = self.permitted.get_mut(&ask.key) {
            // Another daemon has taken over the answer.
            permitted.coordinator = ask.coordinator;
            return;
        }
        if let Some(waiting) = self.queue.number(&ask.key) {
            self.queue.take(waiting);
        }
        let checkpoints = prefix::checkpoints(&std::mem::take(&mut ask.prefix));
        let phase = if tokens == 0 {
            permitted::Phase::Sent(now)
        } else {
            permitted::Phase::Streaming(now)
        };
        let prefill = if tokens == 0 { ask.prompt_tokens } else { 0 };
        let permit = self.permit(&ask, endpoint, 0);
        let permitted = permitted::Permitted {
            permit,
            coordinator: ask.coordinator,
            endpoint: number,
            rank: ask.rank,
            checkpoints,
            cost: 0.0,
            prefill,
            is_long: false,
            max_tokens: ask.max_tokens,
            tokens,
            heard: now,
            phase,
        };
        self.enter(now, permitted);
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
