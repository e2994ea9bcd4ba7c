//! The rates at which requests arrive and are served.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::schedule::{estimate, fleet};

/// How long served work is counted before it enters the moving average.
const SAMPLE_PERIOD: time::Duration = time::Duration::from_millis(250);

/// The window of the served work's average, in seconds during which requests wait.
const SERVED_WINDOW_SECONDS: f64 = 4.0;

/// The time constant of the arrival rates' exponential decay, in seconds.
///
/// It is long compared with a burst, because a burst's work is already counted in the queue and
/// must not count twice.
const ARRIVAL_WINDOW_SECONDS: f64 = 15.0;

/// The least share of the served work that a tier is expected to get, however much higher tiers
/// take.
const MIN_TIER_SHARE: f64 = 0.05;

/// Measures the work that is served and the work that arrives.
///
/// Work is counted in generated tokens. A prompt token counts as the number of generated tokens
/// that take the same share of an endpoint's time. Served work is kept as a ratio to the endpoints'
/// capacity, so that the loss of an endpoint shows at once. It is counted only while requests wait,
/// since only then do the endpoints serve as much as they can.
#[derive(Clone, Debug)]
pub(super) struct WorkRates {
    utilization: estimate::MovingAverage,
    period_start: Timestamp,
    served_work: f64,
    /// The endpoints' capacity, in generated tokens per second.
    capacity: f64,
    /// The work of one prompt token, in generated tokens.
    prompt_cost: f64,
    /// The work per second that arrived and was not refused, by rank.
    arrivals: collections::BTreeMap<u8, ArrivalRate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ArrivalRate {
    rate: f64,
    at: Timestamp,
}

impl WorkRates {
    pub(super) fn new() -> Self {
        Self {
            utilization: estimate::MovingAverage::new(0.8, 1.0, SERVED_WINDOW_SECONDS),
            period_start: Timestamp::ZERO,
            served_work: 0.0,
            capacity: 0.0,
            prompt_cost: 0.1,
            arrivals: collections::BTreeMap::new(),
        }
    }

    /// Returns the work of processing `prompt` prompt tokens and generating `tokens` tokens.
    pub(super) fn cost(&self, prompt: u32, tokens: f64) -> f64 {
        tokens + f64::from(prompt) * self.prompt_cost
    }

    /// Records work that was served.
    pub(super) fn record_served(&mut self, cost: f64) {
        self.served_work += cost;
    }

    /// Records work of tier `rank` that arrived.
    pub(super) fn record_arrival(&mut self, now: Timestamp, rank: u8, cost: f64) {
        let arrivals = self.arrivals.entry(rank).or_default();
        *arrivals =
            ArrivalRate { rate: arrivals.rate_at(now) + cost / ARRIVAL_WINDOW_SECONDS, at: now };
    }

    /// Returns the work per second that higher tiers leave for tier `rank`, or `None` if the
    /// endpoints have no capacity.
    pub(super) fn available_rate(&self, now: Timestamp, rank: u8) -> Option<f64> {
        let total = self.utilization.value() * self.capacity;
        let above: f64 = self.arrivals.range(..rank).map(|(_, a)| a.rate_at(now)).sum();
        (total > 0.0).then(|| (total - above).max(total * MIN_TIER_SHARE))
    }

    /// Ends the current counting period if it is long enough, or restarts it if no request waits.
    pub(super) fn advance(&mut self, now: Timestamp, is_waiting: bool, fleet: &fleet::Fleet) {
        if !is_waiting {
            self.period_start = now;
            self.served_work = 0.0;
            return;
        }
        let elapsed = now.since(self.period_start);
        if elapsed < SAMPLE_PERIOD {
            return;
        }
        let seconds = elapsed.as_secs_f64();
        if self.capacity > 0.0 {
            self.utilization.observe(self.served_work / seconds / self.capacity, seconds);
        }
        self.period_start = now;
        self.served_work = 0.0;
        self.update_capacity(fleet);
    }

    /// Recomputes the capacity and the cost of a prompt token from the endpoints' speeds.
    pub(super) fn update_capacity(&mut self, fleet: &fleet::Fleet) {
        self.capacity = fleet.capacity();
        let costs = fleet.iter().map(|(_, endpoint)| {
            endpoint.speed.prefill_token_time() * f64::from(endpoint.slots)
                / endpoint.speed.step_time()
        });
        let (sum, count) = costs.fold((0.0, 0.0), |(sum, count), cost| (sum + cost, count + 1.0));
        if count > 0.0 {
            self.prompt_cost = sum / count;
        }
    }
}

impl ArrivalRate {
    fn rate_at(&self, now: Timestamp) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / ARRIVAL_WINDOW_SECONDS).exp()
    }
}
