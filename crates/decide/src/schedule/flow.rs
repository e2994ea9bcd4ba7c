//! How fast waiting work is served.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::schedule::{estimate, fleet};

/// How long the served work is counted before it is taken into the mean.
const COUNT: time::Duration = time::Duration::from_millis(250);

/// Over how many seconds of waiting the served work is averaged.
const SERVED_SECONDS: f64 = 4.0;

/// Over how many seconds arrivals are averaged.
///
/// Long against a burst: its work stands in the queue already and must not count twice.
const ARRIVAL_SECONDS: f64 = 15.0;

/// The part of the served work that a tier is expected to get, however much the tiers above take.
const LEAST_PART: f64 = 0.05;

/// Measures work served and work that arrives.
///
/// Work is counted in tokens to generate, and in prompt tokens by what they take of an endpoint's
/// time beside these. Served work is kept in relation to the endpoints' capacity, so that losing
/// an endpoint shows at once. It counts only while requests wait: then all is served that can be.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    served: estimate::Mean,
    since: Timestamp,
    work: f64,
    /// The endpoints' capacity, in tokens a second.
    capacity: f64,
    /// What a prompt token costs.
    prompt_cost: f64,
    /// Work that arrived and was not refused, a second, by rank.
    arrivals: collections::BTreeMap<u8, Arrivals>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    rate: f64,
    at: Timestamp,
}

impl Flow {
    pub(super) fn new() -> Self {
        Self {
            served: estimate::Mean::new(0.8, 1.0, SERVED_SECONDS),
            since: Timestamp::ZERO,
            work: 0.0,
            capacity: 0.0,
            prompt_cost: 0.1,
            arrivals: collections::BTreeMap::new(),
        }
    }

    /// Returns the work of generating `tokens` tokens after processing `prompt` prompt tokens.
    pub(super) fn cost(&self, prompt: u32, tokens: f64) -> f64 {
        tokens + f64::from(prompt) * self.prompt_cost
    }

    /// Counts work that was served.
    pub(super) fn serve(&mut self, cost: f64) {
        self.work += cost;
    }

    /// Counts work that arrived.
    pub(super) fn arrive(&mut self, now: Timestamp, rank: u8, cost: f64) {
        let arrivals = self.arrivals.entry(rank).or_default();
        *arrivals = Arrivals { rate: arrivals.rate_at(now) + cost / ARRIVAL_SECONDS, at: now };
    }

    /// Returns the work a second that is left to requests of tier `rank`, if any is served.
    pub(super) fn rate(&self, now: Timestamp, rank: u8) -> Option<f64> {
        let all = self.served.value() * self.capacity;
        let above: f64 = self.arrivals.range(..rank).map(|(_, a)| a.rate_at(now)).sum();
        (all > 0.0).then(|| (all - above).max(all * LEAST_PART))
    }

    /// Moves the count on.
    pub(super) fn advance(&mut self, now: Timestamp, waits: bool, fleet: &fleet::Fleet) {
        if !waits {
            self.since = now;
            self.work = 0.0;
            return;
        }
        let length = now.since(self.since);
        if length < COUNT {
            return;
        }
        let seconds = length.as_secs_f64();
        if self.capacity > 0.0 {
            self.served.observe(self.work / seconds / self.capacity, seconds);
        }
        self.since = now;
        self.work = 0.0;
        self.weigh(fleet);
    }

    /// Takes in the endpoints' capacity.
    pub(super) fn weigh(&mut self, fleet: &fleet::Fleet) {
        self.capacity = fleet.capacity();
        let costs = fleet.iter().map(|(_, endpoint)| {
            endpoint.rates.prefill_token() * f64::from(endpoint.slots) / endpoint.rates.step()
        });
        let (sum, count) = costs.fold((0.0, 0.0), |(sum, count), cost| (sum + cost, count + 1.0));
        if count > 0.0 {
            self.prompt_cost = sum / count;
        }
    }
}

impl Arrivals {
    fn rate_at(&self, now: Timestamp) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / ARRIVAL_SECONDS).exp()
    }
}
