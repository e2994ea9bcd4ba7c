//! How long views take to agree after failures.

use std::time;

use trefoildyke_decide::members;

use crate::{
    gossip,
    measure::{members::spread, table},
};

const WARM_UP: time::Duration = time::Duration::from_secs(12);
const LIMIT: time::Duration = time::Duration::from_secs(120);
const ZONES: usize = 13;

/// Breaks something in a group.
type Break = fn(&mut gossip::Group);

const CASES: [(&str, Break); 6] = [
    ("one daemon dies", |group| stop(group, |number| number == 3)),
    ("two die at once", |group| stop(group, |number| number == 3 || number == 5)),
    ("an availability zone is lost", |group| stop(group, |number| number % ZONES == 4)),
    ("one is replaced", |group| group.replace(3)),
    ("frozen for 20 s, measured from its waking", freeze),
    ("halves cut for 120 s, measured from the mending", cut),
];

/// Measures groups of the given sizes in virtual time: the time until all running daemons see
/// exactly the running ones as alive, three runs for each row.
pub fn failure(sizes: &[usize], seed: u64) -> comfy_table::Table {
    let mut table = table::new(&[
        "daemons",
        "what happens",
        "views agree after, s",
        "bytes/s highest meanwhile",
    ]);
    for count in sizes {
        for (name, case) in &CASES {
            let runs: Vec<_> = (0..3).map(|run| one(*count, *case, seed + run)).collect();
            let highest = runs.iter().map(|(_, bytes)| *bytes).max().unwrap_or_default();
            let times = spread::range(runs.iter().map(|(time, _)| *time), LIMIT);
            table.add_row([count.to_string(), (*name).to_owned(), times, highest.to_string()]);
        }
    }
    table
}

fn one(count: usize, case: Break, seed: u64) -> (Option<time::Duration>, u64) {
    let mut group = gossip::Group::new(count, members::Params::default(), seed);
    group.run(WARM_UP);
    case(&mut group);
    for node in &mut group.nodes {
        node.traffic = gossip::Traffic::default();
    }
    // Comparing all views takes longer than a step of the group.
    let look =
        |group: &gossip::Group| group.now().as_millis().is_multiple_of(500) && group.agrees();
    let took = group.run_until(LIMIT, look);
    let seconds = took.unwrap_or(LIMIT).as_secs_f64().max(1.0);
    let bytes = group.nodes.iter().map(|node| node.traffic.bytes).max().unwrap_or_default();
    (took, (bytes as f64 / seconds) as u64)
}

fn stop(group: &mut gossip::Group, which: fn(usize) -> bool) {
    for (number, node) in group.nodes.iter_mut().enumerate() {
        node.running &= !which(number);
    }
}

fn freeze(group: &mut gossip::Group) {
    group.nodes[3].running = false;
    group.run(time::Duration::from_secs(20));
    group.nodes[3].running = true;
}

fn cut(group: &mut gossip::Group) {
    group.link.cut_at = Some(group.nodes.len() / 2);
    group.run(time::Duration::from_secs(120));
    group.link.cut_at = None;
}
