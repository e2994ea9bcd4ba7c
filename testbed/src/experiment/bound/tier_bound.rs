//! The bound of each tier.

use super::{supply, windows, work};
use crate::{
    experiment::{arrivals, scenario},
    model,
};

/// The length of a bucket, in milliseconds; windows are widened to whole buckets.
const BUCKET_MS: f64 = 500.0;
/// The proportions in which a step's base is charged; each gives a bound, and the least counts.
const PROPORTIONS: [f64; 4] = [0.0, 0.1, 0.3, 0.6];
/// Covers the rounding errors of sums.
const TOLERANCE: f64 = 1e-6;

/// Holds the most that any policy can complete in one tier.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierBound {
    /// The tier.
    pub tier: String,
    /// Requests that arrived.
    pub arrived: u64,
    /// The most requests that can be completed within their deadlines.
    pub completed: u64,
    /// `completed` over `arrived`; 1 if nothing arrived.
    pub goodput: f64,
}

/// Returns the bound of each tier, the most urgent first.
pub fn bounds(scenario: &scenario::Scenario, arrivals: &[arrivals::Arrival]) -> Vec<TierBound> {
    let ranks = 0..scenario.tiers.len();
    ranks.map(|rank| tier_bound(scenario, arrivals, rank)).collect()
}

fn tier_bound(
    scenario: &scenario::Scenario,
    arrivals: &[arrivals::Arrival],
    rank: usize,
) -> TierBound {
    let tier: Vec<_> = arrivals.iter().filter(|one| usize::from(one.rank) == rank).collect();
    let bound = |share: &f64| relaxed_optimum(scenario, &tier, *share);
    let most = PROPORTIONS.iter().map(bound).fold(tier.len() as f64, f64::min);
    let completed = (most + TOLERANCE).floor();
    let goodput = if tier.is_empty() { 1.0 } else { completed / tier.len() as f64 };
    TierBound {
        tier: scenario.tiers[rank].name.clone(),
        arrived: tier.len() as u64,
        completed: completed as u64,
        goodput,
    }
}

/// Returns the most requests, fractions counted, that one divisible supply can complete.
///
/// Requests are served in order of work, least first: the sets of demands that fit form a
/// polymatroid, on which this greedy order is optimal.
fn relaxed_optimum(
    scenario: &scenario::Scenario,
    tier: &[&arrivals::Arrival],
    to_prompts: f64,
) -> f64 {
    let params = model::Params::default();
    let slots = scenario.engines.iter().map(|group| group.slots).max().unwrap_or(1);
    let measure = work::Measure::new(&params, slots, to_prompts);
    let speed = scenario.engines.iter().map(|group| group.speed).fold(0.0, f64::max);
    let mut order: Vec<_> = tier
        .iter()
        .filter(|one| is_possible(one, &params, speed))
        .map(|one| (measure.of(one), one))
        .collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut windows = windows::Windows::new(&bucket_supply(scenario, tier));
    let mut completed = 0.0;
    for (need, arrival) in order {
        let first = (arrival.at.as_micros() as f64 / 1_000.0 / BUCKET_MS).floor();
        let last = (arrival.deadline().as_micros() as f64 / 1_000.0 / BUCKET_MS).ceil() - 1.0;
        completed += windows.take(first as usize, last as usize, need) / need;
    }
    completed
}

fn is_possible(arrival: &arrivals::Arrival, params: &model::Params, speed: f64) -> bool {
    let patience = arrival.patience.as_micros() as f64;
    work::least_time(arrival, params, speed) <= patience * supply::ROUNDING
}

fn bucket_supply(scenario: &scenario::Scenario, tier: &[&arrivals::Arrival]) -> Vec<f64> {
    let ends = tier.iter().map(|arrival| arrival.deadline().as_micros());
    let end_ms = ends.max().unwrap_or(0) as f64 / 1_000.0;
    let buckets = (end_ms / BUCKET_MS).ceil().max(1.0) as usize;
    let supply = supply::Supply::new(scenario, buckets as f64 * BUCKET_MS);
    let part = |bucket: usize| {
        let from = bucket as f64 * BUCKET_MS;
        supply.between(from, from + BUCKET_MS)
    };
    (0..buckets).map(part).collect()
}
