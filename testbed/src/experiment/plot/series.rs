//! What a plot shows.

use crate::experiment::compare;

/// Holds the points of one line.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Series {
    pub(super) name: String,
    /// Load, and the mean, the least and the greatest goodput over the seeds.
    pub(super) points: Vec<(f64, f64, f64, f64)>,
}

/// Returns the lines of one tier: the bound first, then each policy.
pub(super) fn of_tier(comparison: &compare::Comparison, rank: usize) -> Vec<Series> {
    let loads = comparison.loads();
    let bound = |load: &f64| {
        let spread = comparison.bound(*load, rank);
        (*load, spread.mean, spread.min, spread.max)
    };
    let mut all =
        vec![Series { name: "(bound)".to_owned(), points: loads.iter().map(bound).collect() }];
    for policy in comparison.policies() {
        let point = |load: &f64| {
            let spread = comparison.spread(*load, policy, |run| run.tiers[rank].goodput);
            (*load, spread.mean, spread.min, spread.max)
        };
        all.push(Series { name: policy.to_string(), points: loads.iter().map(point).collect() });
    }
    all
}
