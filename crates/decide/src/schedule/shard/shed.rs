//! Which requests are refused, and when to come back.

use std::time;

use trefoildyke_types::{id, request, time::Timestamp};

use crate::schedule::{self, queue};

/// The shortest retry-after that a refusal names.
const RETRY_LEAST: time::Duration = time::Duration::from_millis(100);

/// How many times the time left the least service must take for a request to be infeasible.
const INFEASIBLE: f64 = 1.5;

/// How many waiting requests are given up at most in one step because the outlook got worse.
const HOPELESS_STEP: usize = 4;

impl schedule::Shard {
    /// Says whether a request that is not in the queue could not be finished in time.
    ///
    /// `margin` is the part of the time left that wait and service may fill.
    pub(super) fn is_hopeless(
        &self,
        now: Timestamp,
        waiting: &queue::Waiting,
        margin: f64,
    ) -> bool {
        let wait = self.predicted_wait(now, waiting, 0.0);
        wait > 0.0 && wait > self.slack(now, waiting) * margin
    }

    /// Says whether no endpoint could finish the request in time even if it had nothing else to do.
    pub(super) fn is_infeasible(&self, now: Timestamp, waiting: &queue::Waiting) -> bool {
        waiting.service > waiting.deadline.since(now).as_secs_f64() * INFEASIBLE
    }

    /// Returns how long the request may wait, in seconds.
    fn slack(&self, now: Timestamp, waiting: &queue::Waiting) -> f64 {
        waiting.latest.since(now).as_secs_f64()
    }

    /// Returns how long a request would wait behind what is in the queue, in seconds.
    ///
    /// `own` is the part of the queued work that is the request's own. Without any endpoint there
    /// is nothing to predict from, and the wait counts as 0.
    fn predicted_wait(&self, now: Timestamp, waiting: &queue::Waiting, own: f64) -> f64 {
        let (rank, account) = (waiting.ask.rank, &waiting.ask.key.account);
        let closed = self.closed_until(now, rank);
        let closed = closed.map_or(0.0, |until| until.since(now).as_secs_f64());
        let Some(rate) = self.flow.rate(now, rank) else { return closed };
        let weight = self.weight(account);
        let cost = waiting.cost - own;
        let tier = self.queue.work_ahead(rank, account, weight, cost) - own;
        let ahead = self.queue.work_above(rank) + tier.max(0.0);
        closed.max(ahead / rate)
    }

    /// Returns until when requests that tiers above `rank` have shed could still have waited.
    ///
    /// Up to and at that time nothing of `rank` is granted: it would be admitted after a higher tier was shed.
    pub(super) fn closed_until(&self, now: Timestamp, rank: u8) -> Option<Timestamp> {
        let above = self.shed_until.range(..rank).map(|(_, until)| *until);
        above.max().filter(|until| *until >= now)
    }

    /// Refuses a request that is not in the queue, after all of lower tiers.
    pub(super) fn refuse_new(
        &mut self,
        now: Timestamp,
        waiting: &queue::Waiting,
        outputs: &mut Vec<schedule::Output>,
    ) {
        let lower = self.queue.shed_below(waiting.ask.rank);
        for lower in &lower {
            self.refuse(now, lower, outputs);
        }
        self.refuse(now, waiting, outputs);
    }

    /// Refuses every request that can no longer be finished in time.
    pub(super) fn shed_late(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        while let Some((latest, number)) = self.queue.first_latest() {
            if latest > now {
                return;
            }
            self.shed(now, number, outputs);
        }
    }

    /// Refuses the newest requests of the lowest tier that will not be reached in time.
    pub(super) fn shed_hopeless(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        for _ in 0..HOPELESS_STEP {
            let Some(number) = self.queue.newest_of_lowest() else { return };
            let Some(waiting) = self.queue.get(number) else { return };
            let wait = self.predicted_wait(now, waiting, waiting.cost);
            if wait <= self.slack(now, waiting) {
                return;
            }
            self.shed(now, number, outputs);
        }
    }

    fn shed(&mut self, now: Timestamp, number: u64, outputs: &mut Vec<schedule::Output>) {
        let shed = self.queue.shed(number);
        for waiting in &shed {
            self.refuse(now, waiting, outputs);
        }
    }

    /// Makes room for a request of an account with a limit; refuses the request if there is none.
    ///
    /// A request takes the place of one of a lower tier of the same account.
    pub(super) fn make_room(
        &mut self,
        now: Timestamp,
        ask: &request::Ask,
        outputs: &mut Vec<schedule::Output>,
    ) -> bool {
        let account = &ask.key.account;
        let limit = self.shares.get(account).and_then(|share| share.max_waiting);
        let is_full = limit.is_some_and(|limit| self.queue.count_of(account) >= limit as usize);
        if !is_full {
            return true;
        }
        let lowest = self.queue.lowest_of(account).filter(|(rank, _)| *rank > ask.rank);
        let Some((_, number)) = lowest else {
            outputs.push(self.refuse_limit(now, &ask.key, ask.rank));
            return false;
        };
        if let Some(waiting) = self.queue.take(number) {
            outputs.push(self.refuse_limit(now, &waiting.ask.key, waiting.ask.rank));
        }
        true
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        waiting: &queue::Waiting,
        outputs: &mut Vec<schedule::Output>,
    ) {
        let until = self.shed_until.entry(waiting.ask.rank).or_default();
        *until = waiting.deadline.max(*until);
        let wait = self.predicted_wait(now, waiting, 0.0);
        let over = (wait - self.slack(now, waiting)).max(0.0);
        let refusal = request::Refusal::new(
            request::RefusalKind::NotRun,
            "shed",
            "the pool is overloaded and nothing ran; send the request again after the given time",
        );
        let refusal = refusal.retry_after(self.retry_ms(over));
        outputs.push(schedule::Output::Shed { key: waiting.ask.key.clone(), refusal });
    }

    fn refuse_limit(&self, now: Timestamp, key: &id::RequestKey, rank: u8) -> schedule::Output {
        let wait = self.queue.work_above(rank + u8::from(rank < u8::MAX));
        let refusal = request::Refusal::new(
            request::RefusalKind::NotRun,
            "account_limit",
            "the client account has as many requests waiting as it may; send fewer at a time",
        );
        let seconds = self.flow.rate(now, rank).map_or(0.0, |rate| wait / rate);
        let refusal = refusal.retry_after(self.retry_ms(seconds));
        schedule::Output::Shed { key: key.clone(), refusal }
    }

    pub(super) fn refuse_late(&self, key: &id::RequestKey) -> schedule::Output {
        let refusal = request::Refusal::new(
            request::RefusalKind::NotRun,
            "deadline_passed",
            "the deadline had passed when the request was scheduled; send it with a later one",
        );
        schedule::Output::Shed {
            key: key.clone(),
            refusal: refusal.retry_after(self.retry_ms(0.0)),
        }
    }

    pub(super) fn refuse_infeasible(&self, key: &id::RequestKey) -> schedule::Output {
        let refusal = request::Refusal::new(
            request::RefusalKind::NotRun,
            "deadline_too_short",
            "no endpoint could answer before the deadline, however idle; send it with a later one",
        );
        schedule::Output::Shed {
            key: key.clone(),
            refusal: refusal.retry_after(self.retry_ms(0.0)),
        }
    }

    fn retry_ms(&self, seconds: f64) -> u64 {
        let wait = time::Duration::try_from_secs_f64(seconds).unwrap_or(self.params.retry_limit);
        wait.min(self.params.retry_limit).max(RETRY_LEAST).as_millis() as u64
    }
}
