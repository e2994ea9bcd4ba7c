//! Granting of waiting requests.

use trefoildyke_types::time::Timestamp;

use crate::schedule::{self, permitted, queue, shard::place};

/// The number of accounts, and of requests of each account, that are considered for one grant.
const CANDIDATE_ACCOUNTS: usize = 4;
const REQUESTS_EACH: usize = 4;

impl schedule::Shard {
    /// Grants all requests that can be granted, in tier order.
    ///
    /// Nothing is granted while a request of a higher tier waits, or while a shed request of a
    /// higher tier could still have been waiting.
    pub(super) fn grant(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        self.hold_end = None;
        let mut candidates = Vec::with_capacity(CANDIDATE_ACCOUNTS * REQUESTS_EACH);
        while let Some(rank) = self.queue.top_rank() {
            if self.closed_until(now, rank).is_some() {
                return;
            }
            if !self.fleet.iter().any(|(_, endpoint)| endpoint.is_open(now, &self.params)) {
                return;
            }
            candidates.clear();
            let allow_long = self.may_start_long();
            self.queue.candidates(
                rank,
                CANDIDATE_ACCOUNTS,
                REQUESTS_EACH,
                allow_long,
                &mut candidates,
            );
            if !self.grant_first(now, &candidates, allow_long, outputs) {
                return;
            }
        }
    }

    /// Grants the first candidate that can be placed now, and returns whether there was one.
    fn grant_first(
        &mut self,
        now: Timestamp,
        candidates: &[u64],
        allow_long: bool,
        outputs: &mut Vec<schedule::Output>,
    ) -> bool {
        for &number in candidates {
            match self.place(now, number, allow_long) {
                place::Placement::Now(choice) => {
                    let Some(waiting) = self.queue.take(number) else { continue };
                    outputs.push(self.grant_choice(now, waiting, &choice));
                    return true;
                }
                place::Placement::Hold(until) => {
                    let end = self.hold_end.map_or(until, |end| end.min(until));
                    self.hold_end = Some(end);
                }
                place::Placement::Blocked => {}
            }
        }
        false
    }

    /// Returns whether one more endpoint may process a long prompt.
    pub(super) fn may_start_long(&self) -> bool {
        let (mut usable, mut busy) = (0_u32, 0_u32);
        for (_, endpoint) in self.fleet.iter().filter(|(_, endpoint)| endpoint.is_usable()) {
            usable += 1;
            busy += u32::from(endpoint.long_prompts > 0);
        }
        let limit = (f64::from(usable) * self.params.long_share).floor().max(1.0);
        f64::from(busy) < limit
    }

    fn grant_choice(
        &mut self,
        now: Timestamp,
        waiting: queue::Waiting,
        choice: &place::Choice,
    ) -> schedule::Output {
        let queue::Waiting { ask, checkpoints, expected_tokens, .. } = waiting;
        let cost = self.work_rates.cost(choice.uncached, expected_tokens);
        self.queue.charge(ask.rank, &ask.key.account, cost, true);
        let cached = ask.prompt_tokens - choice.uncached;
        let permit = self.permit(&ask, choice.name.clone(), cached);
        let expiry = now + self.params.permit_ttl.saturating_add(self.params.permit_ttl / 2);
        self.permit_expiries.insert((expiry, ask.key));
        self.track_permitted(
            now,
            permitted::Permitted {
                permit: permit.clone(),
                coordinator: ask.coordinator,
                endpoint: choice.endpoint,
                rank: ask.rank,
                fingerprint: ask.fingerprint,
                checkpoints,
                cost,
                prefill: choice.uncached,
                is_long: choice.is_long,
                max_tokens: ask.max_tokens,
                tokens: 0,
                last_report_at: now,
                phase: permitted::Phase::Granted(expiry),
                began_at: None,
                survived: false,
            },
        );
        schedule::Output::Grant(permit)
    }

    /// Records a permitted request at its endpoint.
    pub(super) fn track_permitted(&mut self, now: Timestamp, permitted: permitted::Permitted) {
        if let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) {
            endpoint.admit(now, permitted.prefill, permitted.is_long);
            endpoint.streaming += u32::from(permitted.is_streaming());
        }
        if permitted.is_streaming() {
            self.index.mark_ready(permitted.endpoint, &permitted.checkpoints);
        } else {
            self.index.insert_pending(permitted.endpoint, &permitted.checkpoints);
        }
        self.permitted.insert(permitted.key().clone(), permitted);
    }
}
