//! Which runs a comparison makes.

use crate::experiment::{arrivals, bound, compare, figures, policy, run, scenario};

/// Says which runs to make and on how many threads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The policies.
    pub policies: Vec<policy::Variant>,
    /// The seeds are 1 to this number.
    pub seeds: u64,
    /// How many runs go on at once.
    pub threads: usize,
}

/// Runs every policy of `plan` on the same arrivals, for each load and each seed.
pub fn compare(scenario: &scenario::Scenario, plan: &Plan) -> compare::Comparison {
    let capacity = run::capacity(scenario);
    let mut arrivals = Vec::new();
    for load in &scenario.loads {
        for seed in 1..=plan.seeds {
            let drawn = arrivals::generate(scenario, load * capacity, seed);
            arrivals.push((*load, seed, drawn));
        }
    }
    let bounds = compare::parallel::map(&arrivals, plan.threads, |(load, seed, drawn)| {
        let tiers = bound::bounds(scenario, drawn);
        compare::BoundFigures { load: *load, seed: *seed, tiers }
    });
    let mut jobs = Vec::new();
    for (load, seed, drawn) in &arrivals {
        jobs.extend(plan.policies.iter().map(|policy| (*load, *seed, drawn, *policy)));
    }
    let runs = compare::parallel::map(&jobs, plan.threads, |(load, seed, drawn, policy)| {
        let result = run::simulate(scenario, drawn, *policy, *seed);
        figures::RunFigures::of(scenario, drawn, &result, (*policy, *load, *seed))
    });
    let tiers = scenario.tiers.iter().map(|tier| tier.name.clone()).collect();
    compare::Comparison { scenario: scenario.name.clone(), capacity, tiers, bounds, runs }
}
