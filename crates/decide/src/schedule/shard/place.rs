//! Where a request would finish first, at what cost.

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::{self, fleet, queue};

/// How many more prompt tokens a prompt in progress must bring to be worth waiting for.
const LEAST_GAIN: u32 = 64;

/// Says what to do with a waiting request.
pub(super) enum Place {
    /// Grant it.
    Now(Choice),
    /// Keep it for a better endpoint, at most until this time.
    Hold(Timestamp),
    /// No endpoint may take it.
    Blocked,
}

/// Describes one way to place a request.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    pub(super) endpoint: usize,
    pub(super) name: id::EndpointName,
    /// Prompt tokens that are not in the endpoint's cache.
    pub(super) uncached: u32,
    pub(super) is_long: bool,
}

/// Holds what one way to place a request is worth.
#[derive(Clone, Copy, Debug)]
struct Offer {
    endpoint: usize,
    uncached: u32,
    is_long: bool,
    /// The predicted finish, in seconds from now.
    finish: f64,
    /// `finish`, the weighed time to the first token and the weighed prompt work.
    cost: f64,
}

/// Keeps the best offers that were seen.
#[derive(Clone, Copy, Debug, Default)]
struct Offers {
    /// The cheapest that can be taken now.
    open: Option<Offer>,
    /// The cheapest that can be taken later.
    later: Option<Offer>,
}

impl schedule::Shard {
    /// Decides what to do with a waiting request.
    ///
    /// It is held for an endpoint that is not free if that saves prompt work, but not for a faster
    /// endpoint: then the slower ones would stand idle. `has_room` says whether one more endpoint
    /// may process a long prompt.
    pub(super) fn place(&mut self, now: Timestamp, number: u64, has_room: bool) -> Place {
        let Some(waiting) = self.queue.get(number) else { return Place::Blocked };
        let offers = self.offers(now, waiting, has_room);
        let left = waiting.deadline.since(now).as_secs_f64();
        let Some(open) = offers.open else { return Place::Blocked };
        if open.finish > left && !self.permitted.is_empty() {
            return Place::Hold(waiting.latest);
        }
        let saves = |later: &Offer| later.uncached + LEAST_GAIN <= open.uncached;
        let is_better = |later: &Offer| later.cost < open.cost && later.finish <= left;
        if offers.later.as_ref().is_some_and(|later| saves(later) && is_better(later)) {
            let until = waiting.held.unwrap_or(now) + self.params.hold_limit;
            if now < until {
                self.hold(now, number);
                return Place::Hold(until);
            }
        }
        let Some(endpoint) = self.fleet.get(open.endpoint) else { return Place::Blocked };
        Place::Now(Choice {
            endpoint: open.endpoint,
            name: endpoint.name.clone(),
            uncached: open.uncached,
            is_long: open.is_long,
        })
    }

    fn hold(&mut self, now: Timestamp, number: u64) {
        if let Some(waiting) = self.queue.get_mut(number) {
            waiting.held.get_or_insert(now);
        }
    }

    fn offers(&self, now: Timestamp, waiting: &queue::Waiting, has_room: bool) -> Offers {
        let matches = self.index.matches(&waiting.checkpoints);
        let mut offers = Offers::default();
        for (number, endpoint) in self.fleet.iter().filter(|(_, endpoint)| endpoint.is_usable()) {
            let ready = matches.get(number);
            let offer = self.offer(now, waiting, (number, endpoint), ready, 0.0);
            let fits = !offer.is_long || (has_room && endpoint.long == 0);
            if fits && endpoint.is_open(now, &self.params) {
                keep(&mut offers.open, offer);
            } else {
                keep(&mut offers.later, offer);
            }
            let pending = matches.pending(number);
            if pending >= ready + LEAST_GAIN {
                let wait = endpoint.backlog(now);
                let offer = self.offer(now, waiting, (number, endpoint), pending, wait);
                keep(&mut offers.later, offer);
            }
        }
        offers
    }

    /// Describes a placement in which `cached` prompt tokens are reused after `wait` seconds.
    fn offer(
        &self,
        now: Timestamp,
        waiting: &queue::Waiting,
        (number, endpoint): (usize, &fleet::Endpoint),
        cached: u32,
        wait: f64,
    ) -> Offer {
        // The last prompt token is always processed.
        let uncached = waiting.ask.prompt_tokens.saturating_sub(cached).max(1);
        let uncached = uncached.min(waiting.ask.prompt_tokens);
        let prefill = endpoint.rates.prefill(uncached);
        let wait = endpoint.wait(now, &self.params).max(endpoint.backlog(now)).max(wait);
        let first = wait + prefill;
        let finish = first + waiting.expected * endpoint.rates.step();
        Offer {
            endpoint: number,
            uncached,
            is_long: prefill >= self.params.long_prefill.as_secs_f64(),
            finish,
            cost: finish + self.params.first_weight * first + self.params.prefill_weight * prefill,
        }
    }
}

fn keep(best: &mut Option<Offer>, offer: Offer) {
    if best.is_none_or(|best| offer.cost < best.cost) {
        *best = Some(offer);
    }
}
