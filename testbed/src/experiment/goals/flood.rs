//! A client account that floods.

use crate::experiment::{compare, figures, goals, policy};

/// The part of its fair share that a quiet account has to get.
const OF_SHARE: f64 = 0.95;
/// The name of the flooding account in the scenario.
const FLOODING: &str = "flooding";

/// Judges what quiet accounts get beside one that floods.
pub(super) fn measure(comparison: &compare::Comparison) -> goals::Goal {
    let load = goals::overload::first_load(comparison);
    let least = comparison.spread(load, policy::Variant::Trefoildyke, least_quiet);
    goals::Goal {
        wanted: "a quiet account gets at least 95% of its fair share".to_owned(),
        scenario: format!("{} at {load}", comparison.scenario),
        measured: format!("least of the quiet accounts: {least:.3}"),
        verdict: goals::Verdict::of(least.min >= OF_SHARE),
    }
}

fn least_quiet(run: &figures::RunFigures) -> f64 {
    let accounts = run.tiers.iter().flat_map(|tier| &tier.accounts);
    let quiet = accounts.filter(|account| account.account != FLOODING);
    quiet.map(|account| account.ratio).fold(f64::INFINITY, f64::min)
}
