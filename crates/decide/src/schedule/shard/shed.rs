//! Refusal of requests, and the retry-after times of refusals.

use std::time;

use trefoildyke_types::{id, request, time::Timestamp};

use crate::schedule::{self, queue};

/// The shortest retry-after time in a refusal.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

/// A request is infeasible if its minimum service time exceeds this many times the time left.
const INFEASIBLE_RATIO: f64 = 1.5;

/// The maximum number of waiting requests that one step sheds because their predicted wait became
/// too long.
const MAX_SHED_LATE: usize = 4;

impl schedule::Shard {
    /// Returns whether a request that is not in the queue is predicted to miss its deadline.
    ///
    /// `margin` is the share of the time until the latest useful start that the wait may take.
    pub(super) fn would_be_late(
        &self,
        now: Timestamp,
        waiting: &queue::Waiting,
        margin: f64,
    ) -> bool {
        let wait = self.predicted_wait(now, waiting, 0.0);
        wait > 0.0 && wait > self.max_wait(now, waiting) * margin
    }

    /// Returns whether no endpoint could finish the request in time even if it were idle.
    pub(super) fn is_infeasible(&self, now: Timestamp, waiting: &queue::Waiting) -> bool {
        waiting.min_service > waiting.deadline.since(now).as_secs_f64() * INFEASIBLE_RATIO
    }

    /// Returns how long the request may wait, in seconds.
    fn max_wait(&self, now: Timestamp, waiting: &queue::Waiting) -> f64 {
        waiting.latest_start.since(now).as_secs_f64()
    }

    /// Returns the predicted wait of a request behind the queued work, in seconds.
    ///
    /// `own_work` is the request's own share of the queued work. Without endpoints there is no
    /// basis for a prediction, and the wait for the queued work counts as 0.
    fn predicted_wait(&self, now: Timestamp, waiting: &queue::Waiting, own_work: f64) -> f64 {
        let (rank, account) = (waiting.ask.rank, &waiting.ask.key.account);
        let closed = self.closed_until(now, rank);
        let closed = closed.map_or(0.0, |until| until.since(now).as_secs_f64());
        let Some(rate) = self.work_rates.available_rate(now, rank) else { return closed };
        let weight = self.weight(account);
        let cost = waiting.cost - own_work;
        let tier = self.queue.work_ahead(rank, account, weight, cost) - own_work;
        let ahead = self.queue.work_above(rank) + tier.max(0.0);
        closed.max(ahead / rate)
    }

    /// Returns the time until which requests that tiers above `rank` have shed could still have
    /// been waiting.
    ///
    /// Up to and including that time no request of tier `rank` is granted, since it would be
    /// admitted after a request of a higher tier was shed.
    pub(super) fn closed_until(&self, now: Timestamp, rank: u8) -> Option<Timestamp> {
        let above = self.shed_until.range(..rank).map(|(_, until)| *until);
        above.max().filter(|until| *until >= now)
    }

    /// Refuses a request that is not in the queue, after all waiting requests of lower tiers.
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

    /// Refuses every waiting request that can no longer be finished in time.
    pub(super) fn shed_expired(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        while let Some((start, number)) = self.queue.first_latest_start() {
            if start > now {
                return;
            }
            self.shed(now, number, outputs);
        }
    }

    /// Refuses the newest requests of the lowest tier that are predicted to wait too long.
    pub(super) fn shed_late(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        for _ in 0..MAX_SHED_LATE {
            let Some(number) = self.queue.newest_of_lowest() else { return };
            let Some(waiting) = self.queue.get(number) else { return };
            let wait = self.predicted_wait(now, waiting, waiting.cost);
            if wait <= self.max_wait(now, waiting) {
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

    /// Makes room for a request of an account that may have reached its limit, or refuses the
    /// request.
    ///
    /// A request replaces the newest one of a lower tier of the same account. Returns whether there
    /// is room.
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
        let over = (wait - self.max_wait(now, waiting)).max(0.0);
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
        let seconds = self.work_rates.available_rate(now, rank).map_or(0.0, |rate| wait / rate);
        let refusal = refusal.retry_after(self.retry_ms(seconds));
        schedule::Output::Shed { key: key.clone(), refusal }
    }

    pub(super) fn refuse_expired(&self, key: &id::RequestKey) -> schedule::Output {
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
        wait.min(self.params.retry_limit).max(MIN_RETRY_AFTER).as_millis() as u64
    }
}
