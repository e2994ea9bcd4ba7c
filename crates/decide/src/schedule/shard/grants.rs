//! How waiting requests are granted.

use trefoildyke_types::time::Timestamp;

use crate::schedule::{self, permitted, queue, shard::place};

/// How many accounts, and requests of each, are looked at for one grant.
const ACCOUNTS: usize = 4;
const EACH: usize = 4;

impl schedule::Shard {
    /// Grants what can be granted, in tier order.
    ///
    /// Nothing is granted past a waiting higher tier, or while a higher one that was shed could
    /// still have waited.
    pub(super) fn grant(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        self.hold_end = None;
        let mut candidates = Vec::with_capacity(ACCOUNTS * EACH);
        while let Some(rank) = self.queue.top_rank() {
            if self.closed_until(now, rank).is_some() {
                return;
            }
            if !self.fleet.iter().any(|(_, endpoint)| endpoint.is_open(now, &self.params)) {
                return;
            }
            candidates.clear();
            let has_room = self.has_long_room();
            self.queue.next(rank, ACCOUNTS, EACH, has_room, &mut candidates);
            if !self.grant_one(now, &candidates, has_room, outputs) {
                return;
            }
        }
    }

    /// Grants the first candidate that has a place now; says whether there was one.
    fn grant_one(
        &mut self,
        now: Timestamp,
        candidates: &[u64],
        has_room: bool,
        outputs: &mut Vec<schedule::Output>,
    ) -> bool {
        for &number in candidates {
            match self.place(now, number, has_room) {
                place::Place::Now(choice) => {
                    let Some(waiting) = self.queue.take(number) else { continue };
                    outputs.push(self.enter_choice(now, waiting, &choice));
                    return true;
                }
                place::Place::Hold(until) => {
                    let end = self.hold_end.map_or(until, |end| end.min(until));
                    self.hold_end = Some(end);
                }
                place::Place::Blocked => {}
            }
        }
        false
    }

    /// Says whether one more endpoint may process a long prompt.
    pub(super) fn has_long_room(&self) -> bool {
        let (mut usable, mut busy) = (0_u32, 0_u32);
        for (_, endpoint) in self.fleet.iter().filter(|(_, endpoint)| endpoint.is_usable()) {
            usable += 1;
            busy += u32::from(endpoint.long > 0);
        }
        let limit = (f64::from(usable) * self.params.long_share).floor().max(1.0);
        f64::from(busy) < limit
    }

    fn enter_choice(
        &mut self,
        now: Timestamp,
        waiting: queue::Waiting,
        choice: &place::Choice,
    ) -> schedule::Output {
        let queue::Waiting { ask, checkpoints, expected, .. } = waiting;
        let cost = self.flow.cost(choice.uncached, expected);
        self.queue.charge(ask.rank, &ask.key.account, cost, true);
        let cached = ask.prompt_tokens - choice.uncached;
        let permit = self.permit(&ask, choice.name.clone(), cached);
        let lapse = now + self.params.permit_ttl.saturating_add(self.params.permit_ttl / 2);
        self.lapses.insert((lapse, ask.key));
        self.enter(
            now,
            permitted::Permitted {
                permit: permit.clone(),
                coordinator: ask.coordinator,
                endpoint: choice.endpoint,
                rank: ask.rank,
                checkpoints,
                cost,
                prefill: choice.uncached,
                is_long: choice.is_long,
                max_tokens: ask.max_tokens,
                tokens: 0,
                heard: now,
                phase: permitted::Phase::Granted(lapse),
            },
        );
        schedule::Output::Grant(permit)
    }

    /// Accounts for a request at its endpoint.
    pub(super) fn enter(&mut self, now: Timestamp, permitted: permitted::Permitted) {
        if let Some(endpoint) = self.fleet.get_mut(permitted.endpoint) {
            endpoint.permit(now, permitted.prefill, permitted.is_long);
            endpoint.streaming += u32::from(permitted.is_streaming());
        }
        if permitted.is_streaming() {
            self.index.confirm(permitted.endpoint, &permitted.checkpoints);
        } else {
            self.index.place(permitted.endpoint, &permitted.checkpoints);
        }
        self.permitted.insert(permitted.key().clone(), permitted);
    }
}
