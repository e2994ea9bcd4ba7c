//! Figures of one run.

use crate::experiment::{arrivals, figures, policy, run, scenario};

/// Holds the figures of one run: one policy, one load, one seed.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunFigures {
    /// The policy.
    pub policy: policy::Variant,
    /// The load, as a multiple of the measured capacity.
    pub load: f64,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The tiers, the most urgent first.
    pub tiers: Vec<figures::TierFigures>,
    /// Prompt processing.
    pub prefill: figures::Prefill,
    /// Tier inversions.
    pub inversions: figures::Inversions,
    /// The share of slot time that was free while requests waited.
    pub idle: f64,
    /// Control messages.
    pub control: policy::Traffic,
    /// Requests that were dispatched more than once.
    pub doubled: u64,
}

impl RunFigures {
    /// Works out the figures of a run.
    pub fn of(
        scenario: &scenario::Scenario,
        arrivals: &[arrivals::Arrival],
        result: &run::RunResult,
        (policy, load, seed): (policy::Variant, f64, u64),
    ) -> Self {
        let ranks = 0..scenario.tiers.len() as u8;
        Self {
            policy,
            load,
            seed,
            tiers: ranks
                .map(|rank| figures::TierFigures::of(scenario, arrivals, result, rank))
                .collect(),
            prefill: figures::Prefill::of(&result.engines),
            inversions: figures::Inversions::count(arrivals, &result.records),
            idle: figures::idle_share(scenario, arrivals, &result.records),
            control: result.traffic,
            doubled: result.doubled,
        }
    }
}
