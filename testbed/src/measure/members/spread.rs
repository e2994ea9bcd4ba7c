//! How long a configuration change takes to reach all, and to be known in force.

use std::time;

use trefoildyke_decide::members;

use crate::{gossip, measure::table};

const WARM_UP: time::Duration = time::Duration::from_secs(5);
const LIMIT: time::Duration = time::Duration::from_secs(30);
const RUNS: u64 = 3;

/// Measures groups of the given sizes in virtual time, three runs for each row.
pub fn spread(sizes: &[usize], seed: u64) -> comfy_table::Table {
    let mut table = table::new(&[
        "daemons",
        "messages lost",
        "reached all, s (lowest to highest of 3)",
        "known in force at one, s",
        "known in force at all, s",
    ]);
    for count in sizes {
        for lose_one_in in [0, 20, 10, 5] {
            table.add_row(row(*count, lose_one_in, seed));
        }
    }
    table
}

#[derive(Default)]
struct Run {
    reached: Option<time::Duration>,
    first: Option<time::Duration>,
    known: Option<time::Duration>,
}

fn row(count: usize, lose_one_in: u64, seed: u64) -> Vec<String> {
    let runs: Vec<_> = (0..RUNS).map(|run| one(count, lose_one_in, seed + run)).collect();
    let lost = if lose_one_in == 0 { 0.0 } else { 100.0 / lose_one_in as f64 };
    vec![
        count.to_string(),
        format!("{lost:.0}%"),
        range(runs.iter().map(|run| run.reached), LIMIT),
        range(runs.iter().map(|run| run.first), LIMIT),
        range(runs.iter().map(|run| run.known), LIMIT),
    ]
}

fn one(count: usize, lose_one_in: u64, seed: u64) -> Run {
    let mut group = gossip::Group::new(count, members::Params::default(), seed);
    group.run(WARM_UP);
    group.link.lose_one_in = lose_one_in;
    let start = group.now();
    group.configure(count / 3, 1);
    let mut run = Run::default();
    while run.known.is_none() && group.now().since(start) < LIMIT {
        let passed = Some(group.now().since(start));
        let in_force = |node: &gossip::Node| node.membership.in_force().config >= 1;
        if run.reached.is_none() && group.nodes.iter().all(|node| node.config >= 1) {
            run.reached = passed;
        }
        if run.first.is_none() && group.nodes.iter().any(in_force) {
            run.first = passed;
        }
        if group.nodes.iter().all(in_force) {
            run.known = passed;
        }
        group.step();
    }
    run
}

/// Returns the lowest and the highest, or says how many did not end in time.
pub(crate) fn range(
    times: impl Iterator<Item = Option<time::Duration>>,
    limit: time::Duration,
) -> String {
    let times: Vec<_> = times.collect();
    let missing = times.iter().filter(|time| time.is_none()).count();
    if missing > 0 {
        return format!("{missing} of {} not within {} s", times.len(), limit.as_secs());
    }
    let seconds = || times.iter().flatten().map(time::Duration::as_secs_f64);
    let lowest = seconds().fold(f64::INFINITY, f64::min);
    let highest = seconds().fold(0.0, f64::max);
    format!("{lowest:.1} to {highest:.1}")
}
