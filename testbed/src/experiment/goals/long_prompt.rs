//! A long prompt ahead of one-line questions.

use std::time;

use trefoildyke_types::{error, time::Timestamp};

use crate::experiment::{arrivals, compare, figures, goals, policy, run, scenario};

/// How many times longer the questions may wait than without the long prompts.
const LIMIT: f64 = 1.3;
/// Questions count if they arrive so soon after a long prompt.
const AFTER: time::Duration = time::Duration::from_secs(1);

/// Judges the questions' time to the first token with and without long prompts ahead.
pub(super) fn measure(suite: &goals::Suite) -> Result<goals::Goal, error::Error> {
    let scenario = suite.read("long-prompt")?;
    let without = scenario::Scenario { bursts: Vec::new(), ..scenario.clone() };
    let load = scenario.loads[0];
    let rate = load * run::capacity(&without);
    let seeds: Vec<_> = (1..=suite.seeds).collect();
    let pairs = compare::parallel::map(&seeds, suite.threads, |seed| {
        let p95 = |plan| question_p95(plan, &scenario.bursts, rate, *seed);
        (p95(&scenario), p95(&without))
    });
    let ahead = figures::Spread::of(pairs.iter().map(|pair| pair.0));
    let alone = figures::Spread::of(pairs.iter().map(|pair| pair.1));
    let times = figures::Spread::of(pairs.iter().map(|pair| pair.0 / pair.1));
    Ok(goals::Goal {
        wanted: "questions' p95 to first token at most 1.3 times what it is without".to_owned(),
        scenario: format!("{} at {load}", scenario.name),
        measured: format!("{ahead:.1} ms with, {alone:.1} ms without: {times:.2} times"),
        verdict: goals::Verdict::of(times.mean <= LIMIT),
    })
}

fn question_p95(
    plan: &scenario::Scenario,
    bursts: &[scenario::Burst],
    rate: f64,
    seed: u64,
) -> f64 {
    let arrivals = arrivals::generate(plan, rate, seed);
    let result = run::simulate(plan, &arrivals, policy::Variant::Trefoildyke, seed);
    let mut first = figures::histogram();
    for (arrival, record) in arrivals.iter().zip(&result.records) {
        if is_question(plan, arrival) && follows(bursts, arrival.at) {
            let end = record.first.or(record.ended.map(|(at, _)| at)).unwrap_or_default();
            first.saturating_record(end.since(arrival.at).as_micros() as u64);
        }
    }
    figures::Percentiles::of(&first).p95
}

/// Steady arrivals are questions; long prompts come in bursts only.
fn is_question(plan: &scenario::Scenario, arrival: &arrivals::Arrival) -> bool {
    plan.classes[arrival.class].share > 0.0
}

fn follows(bursts: &[scenario::Burst], at: Timestamp) -> bool {
    bursts.iter().any(|burst| {
        let start = Timestamp::from_millis(burst.at_ms);
        at >= start && at.since(start) < AFTER
    })
}
