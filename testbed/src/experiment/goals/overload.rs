//! Goodput of the top tier in an overload.

use crate::experiment::{compare, figures, goals, policy};

/// The part of the clairvoyant bound that is wanted.
const OF_BOUND: f64 = 0.97;
/// The multiple of the best baseline that is wanted.
const OF_BASELINE: f64 = 2.0;

/// Judges the top tier's goodput against the clairvoyant bound.
pub(super) fn near_bound(comparison: &compare::Comparison) -> goals::Goal {
    let load = first_load(comparison);
    let own = top(comparison, load, policy::Variant::Trefoildyke);
    let bound = comparison.bound(load, 0);
    let part = own.mean / bound.mean;
    goals::Goal {
        wanted: "top-tier goodput within 3% of the clairvoyant bound".to_owned(),
        scenario: format!("{} at {load}", comparison.scenario),
        measured: format!("{own:.3} of {bound:.3}: {:.1}% below", (1.0 - part) * 100.0),
        verdict: goals::Verdict::of(part >= OF_BOUND),
    }
}

/// Judges the top tier's goodput against the best baseline.
pub(super) fn twice_best(comparison: &compare::Comparison) -> goals::Goal {
    let load = first_load(comparison);
    let own = top(comparison, load, policy::Variant::Trefoildyke);
    let Some((policy, best)) = best_baseline(comparison, load, |_| true) else {
        return none(comparison);
    };
    let simple = best_baseline(comparison, load, |policy| policy != policy::Variant::Alone);
    let (simple, other) = simple.unwrap_or((policy, best));
    let times = own.mean / best.mean;
    goals::Goal {
        wanted: "top-tier goodput at least twice the best baseline's".to_owned(),
        scenario: format!("{} at {load}", comparison.scenario),
        measured: format!(
            "{own:.3} against {best:.3} ({policy}): {times:.2} times; without the project's \
             scheduler {other:.3} ({simple}): {:.2} times",
            own.mean / other.mean
        ),
        verdict: goals::Verdict::of(times >= OF_BASELINE),
    }
}

fn best_baseline(
    comparison: &compare::Comparison,
    load: f64,
    counts: impl Fn(policy::Variant) -> bool,
) -> Option<(policy::Variant, figures::Spread)> {
    let policies = comparison.policies().into_iter();
    policies
        .filter(|policy| policy.is_baseline() && counts(*policy))
        .map(|policy| (policy, top(comparison, load, policy)))
        .max_by(|a, b| a.1.mean.total_cmp(&b.1.mean))
}

fn none(comparison: &compare::Comparison) -> goals::Goal {
    goals::Goal {
        wanted: "top-tier goodput at least twice the best baseline's".to_owned(),
        scenario: comparison.scenario.clone(),
        measured: "no baseline was run".to_owned(),
        verdict: goals::Verdict::NotRun,
    }
}

/// Returns the first load of a comparison, or 0 if it made no run.
pub(super) fn first_load(comparison: &compare::Comparison) -> f64 {
    comparison.loads().first().copied().unwrap_or_default()
}

fn top(comparison: &compare::Comparison, load: f64, policy: policy::Variant) -> figures::Spread {
    comparison.spread(load, policy, |run| run.tiers[0].goodput)
}
