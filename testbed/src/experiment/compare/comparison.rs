//! The results of a comparison.

use crate::experiment::{bound, figures, policy};

/// Holds the clairvoyant bound of one load and seed.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundFigures {
    /// The load.
    pub load: f64,
    /// The seed.
    pub seed: u64,
    /// The bound of each tier, the most urgent first.
    pub tiers: Vec<bound::TierBound>,
}

/// Holds the results of a comparison.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Comparison {
    /// The scenario's name.
    pub scenario: String,
    /// The measured capacity, in requests a second.
    pub capacity: f64,
    /// The tiers' names, the most urgent first.
    pub tiers: Vec<String>,
    /// The bounds, in order of load and seed.
    pub bounds: Vec<BoundFigures>,
    /// The runs, in order of load, seed and policy.
    pub runs: Vec<figures::RunFigures>,
}

impl Comparison {
    /// Returns the runs of one policy at one load, in order of seed.
    pub fn runs_of(
        &self,
        load: f64,
        policy: policy::Variant,
    ) -> impl Iterator<Item = &figures::RunFigures> + Clone {
        self.runs.iter().filter(move |run| run.load == load && run.policy == policy)
    }

    /// Returns the spread over seeds of one figure.
    pub fn spread(
        &self,
        load: f64,
        policy: policy::Variant,
        figure: impl Fn(&figures::RunFigures) -> f64,
    ) -> figures::Spread {
        figures::Spread::of(self.runs_of(load, policy).map(figure))
    }

    /// Returns the spread over seeds of the bound on a tier's goodput.
    pub fn bound(&self, load: f64, rank: usize) -> figures::Spread {
        let bounds = self.bounds.iter().filter(|bound| bound.load == load);
        figures::Spread::of(bounds.map(|bound| bound.tiers[rank].goodput))
    }

    /// Returns the loads in order.
    pub fn loads(&self) -> Vec<f64> {
        let mut loads: Vec<_> = self.runs.iter().map(|run| run.load).collect();
        loads.dedup();
        loads
    }

    /// Returns the policies in order.
    pub fn policies(&self) -> Vec<policy::Variant> {
        let mut policies: Vec<_> = self.runs.iter().map(|run| run.policy).collect();
        policies.sort_unstable();
        policies.dedup();
        policies
    }
}
