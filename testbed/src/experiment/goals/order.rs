//! Tier inversions over all runs.

use crate::experiment::{compare, goals, policy};

/// Judges whether any run of the project's scheduler shows an inversion.
pub(super) fn measure(comparisons: &[compare::Comparison]) -> goals::Goal {
    let (mut count, mut waiting, mut admitted) = (0, 0, 0);
    for comparison in comparisons {
        let own = comparison.runs.iter().filter(|run| run.policy == policy::Variant::Trefoildyke);
        for run in own {
            count += 1;
            waiting += run.inversions.waiting;
            admitted += run.inversions.admitted;
        }
    }
    goals::Goal {
        wanted: "no tier inversion in any run".to_owned(),
        scenario: format!("{count} runs of {} scenarios", comparisons.len()),
        measured: format!(
            "{waiting} pairs with the lower tier waiting, {admitted} with it admitted afterwards"
        ),
        verdict: goals::Verdict::of(count > 0 && waiting + admitted == 0),
    }
}
