//! The loss of a pool's scheduler.

use trefoildyke_types::error;

use crate::experiment::{arrivals, compare, goals, policy, run, scenario};

/// How soon goodput has to be back, in milliseconds.
const LIMIT_MS: u64 = 1_000;
/// The width of the window in which goodput is measured, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// The distance between windows, in milliseconds.
const STRIDE_MS: u64 = 100;
/// For how long after the loss goodput is watched, in milliseconds.
const WATCH_MS: u64 = 10_000;
/// The part of the undisturbed goodput that counts as back.
const BACK: f64 = 0.9;

/// Judges goodput after the loss of the scheduler against a run without the loss.
pub(super) fn measure(suite: &goals::Suite) -> Result<Vec<goals::Goal>, error::Error> {
    let scenario = suite.read("cascadia-lost-scheduler")?;
    let calm = scenario::Scenario { lost_schedulers: Vec::new(), ..scenario.clone() };
    let load = scenario.loads[0];
    let rate = load * run::capacity(&calm);
    let lost_ms = scenario.lost_schedulers.first().map_or(0, |lost| lost.at_ms);
    let seeds: Vec<_> = (1..=suite.seeds).collect();
    let pairs = compare::parallel::map(&seeds, suite.threads, |seed| {
        (one_run(&scenario, rate, *seed), one_run(&calm, rate, *seed))
    });
    let disturbed: Vec<_> = pairs.iter().flat_map(|(lost, _)| lost.completions.clone()).collect();
    let undisturbed: Vec<_> = pairs.iter().flat_map(|(_, calm)| calm.completions.clone()).collect();
    let back_ms = back_after(&disturbed, &undisturbed, lost_ms);
    let doubled: u64 = pairs.iter().map(|(lost, _)| lost.doubled).sum();
    let place = format!("{} at {load}", scenario.name);
    let back = goals::Goal {
        wanted: "goodput back within one second of losing the scheduler".to_owned(),
        scenario: place.clone(),
        measured: format!(
            "back after {back_ms} ms; {:.1}% of the next ten seconds' goodput lost",
            lost_part(&disturbed, &undisturbed, lost_ms) * 100.0
        ),
        verdict: goals::Verdict::of(back_ms <= LIMIT_MS),
    };
    let once = goals::Goal {
        wanted: "nothing dispatched twice when the scheduler is lost".to_owned(),
        scenario: place,
        measured: format!("{doubled} requests"),
        verdict: goals::Verdict::of(doubled == 0),
    };
    Ok(vec![back, once])
}

struct Run {
    /// When requests were completed, in milliseconds.
    completions: Vec<u64>,
    doubled: u64,
}

fn one_run(scenario: &scenario::Scenario, rate: f64, seed: u64) -> Run {
    let arrivals = arrivals::generate(scenario, rate, seed);
    let result = run::simulate(scenario, &arrivals, policy::Variant::Trefoildyke, seed);
    let completed = |record: &run::Record| match record.ended {
        Some((at, run::Outcome::Completed)) => Some(at.as_millis()),
        _ => None,
    };
    let completions = result.records.iter().filter_map(completed).collect();
    Run { completions, doubled: result.doubled }
}

/// Returns how long after the loss the last window with too little goodput begins and one stride
/// more, or 0 if there is none.
fn back_after(disturbed: &[u64], undisturbed: &[u64], lost_ms: u64) -> u64 {
    let mut starts = (0..WATCH_MS / STRIDE_MS).map(|stride| stride * STRIDE_MS).rev();
    let is_low = |offset: &u64| {
        let window = lost_ms + offset..lost_ms + offset + WINDOW_MS;
        let count = |times: &[u64]| times.iter().filter(|at| window.contains(at)).count() as f64;
        count(disturbed) < BACK * count(undisturbed)
    };
    starts.find(is_low).map_or(0, |offset| offset + STRIDE_MS)
}

fn lost_part(disturbed: &[u64], undisturbed: &[u64], lost_ms: u64) -> f64 {
    let watch = lost_ms..lost_ms + WATCH_MS;
    let count = |times: &[u64]| times.iter().filter(|at| watch.contains(at)).count() as f64;
    1.0 - count(disturbed) / count(undisturbed).max(1.0)
}
