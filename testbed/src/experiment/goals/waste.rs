//! Wasted prefill and failed corrections.

use crate::experiment::{compare, figures, goals, policy};

/// The part of the best baseline's waste that is allowed.
const OF_BASELINE: f64 = 1.0 / 3.0;

/// Judges wasted prefill against the baseline that wastes the least.
pub(super) fn third_of_best(comparison: &compare::Comparison) -> goals::Goal {
    let load = goals::overload::first_load(comparison);
    let share = |policy| comparison.spread(load, policy, |run| run.prefill.share);
    let tokens = |policy| comparison.spread(load, policy, |run| run.prefill.wasted as f64 / 1e3);
    let own = (share(policy::Variant::Trefoildyke), tokens(policy::Variant::Trefoildyke));
    let baselines = comparison.policies().into_iter().filter(|policy| policy.is_baseline());
    let best = baselines.min_by(|a, b| share(*a).mean.total_cmp(&share(*b).mean));
    let best = best.unwrap_or(policy::Variant::Trefoildyke);
    let part = own.0.mean / share(best).mean;
    let measured = format!(
        "{:.3} of all, {:.0} thousand tokens; {best}: {:.3}, {:.0}: {part:.2} of it",
        own.0,
        own.1,
        share(best),
        tokens(best),
    );
    goals::Goal {
        wanted: "wasted prefill at most a third of the best baseline's".to_owned(),
        scenario: format!("{} at {load}", comparison.scenario),
        measured,
        verdict: goals::Verdict::of(part <= OF_BASELINE),
    }
}

/// Judges whether corrections failed that could have met their deadlines.
pub(super) fn none_failed(comparison: &compare::Comparison) -> goals::Goal {
    let load = goals::overload::first_load(comparison);
    let runs = comparison.runs_of(load, policy::Variant::Trefoildyke);
    let bounds = comparison.bounds.iter().filter(|bound| bound.load == load);
    let top = |run: &figures::RunFigures| run.tiers[0].clone();
    let pairs = runs.clone().zip(bounds);
    let missed: u64 = pairs
        .map(|(run, bound)| bound.tiers[0].completed.saturating_sub(run.tiers[0].completed))
        .sum();
    let cut: u64 = runs.clone().map(|run| top(run).cut).sum();
    let late: u64 = runs.clone().map(|run| top(run).late).sum();
    let refused: u64 = runs.clone().map(|run| top(run).shed + top(run).expired).sum();
    let arrived: u64 = runs.map(|run| top(run).arrived).sum();
    goals::Goal {
        wanted: "no correction failed that could have met its deadline".to_owned(),
        scenario: format!("{} at {load}", comparison.scenario),
        measured: format!(
            "{missed} below the bound of {arrived}: {cut} cut with the endpoint, {late} late, \
             {refused} never placed"
        ),
        verdict: goals::Verdict::of(missed == 0),
    }
}
