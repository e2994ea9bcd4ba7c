//! Choice of the endpoint for a request, by predicted finish and cost.

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::{self, fleet, queue};

/// The number of additional cached prompt tokens from which it is worth waiting for another
/// placement.
const MIN_CACHE_GAIN: u32 = 64;

/// The decision on a waiting request.
pub(super) enum Placement {
    /// Grant it.
    Now(Choice),
    /// Hold it for a better endpoint, at most until this time.
    Hold(Timestamp),
    /// No endpoint can take it now.
    Blocked,
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) endpoint: usize,
    pub(super) name: id::EndpointName,
    /// The prompt tokens that are not in the endpoint's cache.
    pub(super) uncached: u32,
    pub(super) is_long: bool,
}

/// The predicted result of placing a request on an endpoint.
#[derive(Clone, Copy, Debug)]
struct Prediction {
    endpoint: usize,
    uncached: u32,
    is_long: bool,
    /// The predicted finish, in seconds from now.
    finish: f64,
    /// The sum of `finish`, the weighted time to the first token and the weighted prompt processing
    /// time.
    cost: f64,
}

/// The cheapest predictions found so far.
#[derive(Clone, Copy, Debug, Default)]
struct Predictions {
    /// The cheapest placement that is possible now.
    open: Option<Prediction>,
    /// The cheapest placement that is possible later.
    later: Option<Prediction>,
}

impl schedule::Shard {
    /// Decides whether to grant or hold a waiting request.
    ///
    /// The request is held for a busy endpoint if that saves prompt processing, but not just
    /// because the endpoint is faster: otherwise the slower endpoints would be idle. `allow_long`
    /// tells whether one more endpoint may process a long prompt.
    pub(super) fn place(&mut self, now: Timestamp, number: u64, allow_long: bool) -> Placement {
        let Some(waiting) = self.queue.get(number) else { return Placement::Blocked };
        let predictions = self.predict_all(now, waiting, allow_long);
        let left = waiting.deadline.since(now).as_secs_f64();
        let Some(open) = predictions.open else { return Placement::Blocked };
        if open.finish > left && !self.permitted.is_empty() {
            return Placement::Hold(waiting.latest_start);
        }
        let saves = |later: &Prediction| later.uncached + MIN_CACHE_GAIN <= open.uncached;
        let is_better = |later: &Prediction| later.cost < open.cost && later.finish <= left;
        if predictions.later.as_ref().is_some_and(|later| saves(later) && is_better(later)) {
            let until = waiting.held_since.unwrap_or(now) + self.params.hold_limit;
            if now < until {
                self.hold(now, number);
                return Placement::Hold(until);
            }
        }
        let Some(endpoint) = self.fleet.get(open.endpoint) else { return Placement::Blocked };
        Placement::Now(Choice {
            endpoint: open.endpoint,
            name: endpoint.name.clone(),
            uncached: open.uncached,
            is_long: open.is_long,
        })
    }

    fn hold(&mut self, now: Timestamp, number: u64) {
        if let Some(waiting) = self.queue.get_mut(number) {
            waiting.held_since.get_or_insert(now);
        }
    }

    fn predict_all(
        &self,
        now: Timestamp,
        waiting: &queue::Waiting,
        allow_long: bool,
    ) -> Predictions {
        let matches = self.index.matches(&waiting.checkpoints);
        let mut predictions = Predictions::default();
        for (index, endpoint) in self.fleet.iter().filter(|(_, endpoint)| endpoint.is_usable()) {
            let ready = matches.get(index);
            let prediction = self.predict(now, waiting, (index, endpoint), ready, 0.0);
            let fits = !prediction.is_long || (allow_long && endpoint.long_prompts == 0);
            if fits && endpoint.is_open(now, &self.params) {
                keep_cheaper(&mut predictions.open, prediction);
            } else {
                keep_cheaper(&mut predictions.later, prediction);
            }
            let pending = matches.pending(index);
            if pending >= ready + MIN_CACHE_GAIN {
                let wait = endpoint.prefill_backlog(now);
                let prediction = self.predict(now, waiting, (index, endpoint), pending, wait);
                keep_cheaper(&mut predictions.later, prediction);
            }
        }
        predictions
    }

    /// Predicts a placement that reuses `cached` prompt tokens after `wait` seconds.
    fn predict(
        &self,
        now: Timestamp,
        waiting: &queue::Waiting,
        (index, endpoint): (usize, &fleet::Endpoint),
        cached: u32,
        wait: f64,
    ) -> Prediction {
        // The last prompt token is always processed.
        let uncached = waiting.ask.prompt_tokens.saturating_sub(cached).max(1);
        let uncached = uncached.min(waiting.ask.prompt_tokens);
        let prefill = endpoint.speed.prefill_time(uncached);
        let wait =
            endpoint.expected_wait(now, &self.params).max(endpoint.prefill_backlog(now)).max(wait);
        let first_token = wait + prefill;
        let finish = first_token + waiting.expected_tokens * endpoint.speed.step_time();
        Prediction {
            endpoint: index,
            uncached,
            is_long: prefill >= self.params.long_prefill.as_secs_f64(),
            finish,
            cost: finish
                + self.params.first_weight * first_token
                + self.params.prefill_weight * prefill,
        }
    }
}

fn keep_cheaper(best: &mut Option<Prediction>, prediction: Prediction) {
    if best.is_none_or(|best| prediction.cost < best.cost) {
        *best = Some(prediction);
    }
}
