//! Bytes, messages, processor time and memory for each daemon.

use std::time;

use trefoildyke_decide::members;

use crate::{
    gossip,
    measure::{self, table},
};

const WARM_UP: time::Duration = time::Duration::from_secs(12);
const LENGTH: time::Duration = time::Duration::from_secs(60);

/// Something that happens now and then in a group.
struct Load {
    name: &'static str,
    /// How often the configuration changes.
    change: Option<time::Duration>,
    /// How often a member is replaced.
    replace: Option<time::Duration>,
}

/// 32,000 changes a day are one in 2.7 s; 721 replacements a day are one in 120 s, taken here as
/// one in 20 s so that a short run has some.
const LOADS: [Load; 3] = [
    Load { name: "quiet", change: None, replace: None },
    Load {
        name: "32,000 changes a day",
        change: Some(time::Duration::from_millis(2_700)),
        replace: None,
    },
    Load {
        name: "the same, a daemon replaced every 20 s",
        change: Some(time::Duration::from_millis(2_700)),
        replace: Some(time::Duration::from_secs(20)),
    },
];

/// Measures groups of the given sizes in virtual time.
pub fn cost(sizes: &[usize], seed: u64) -> comfy_table::Table {
    let mut table = table::new(&[
        "daemons",
        "load",
        "bytes/s mean",
        "bytes/s highest",
        "messages/s",
        "processor us/s",
        "memory KiB",
    ]);
    for count in sizes {
        for load in &LOADS {
            table.add_row(row(*count, load, seed));
        }
    }
    table
}

fn row(count: usize, load: &Load, seed: u64) -> Vec<String> {
    let memory = measure::resident_bytes();
    let mut group = gossip::Group::new(count, members::Params::default(), seed);
    group.run(WARM_UP);
    let memory = measure::resident_bytes().saturating_sub(memory) / count as u64;
    for node in &mut group.nodes {
        node.traffic = gossip::Traffic::default();
    }
    let busy = measure::busy_time();
    play(&mut group, load);
    let busy = measure::busy_time().saturating_sub(busy);
    let seconds = LENGTH.as_secs();
    let bytes = |node: &gossip::Node| node.traffic.bytes / seconds;
    let sum: u64 = group.nodes.iter().map(bytes).sum();
    let messages: u64 = group.nodes.iter().map(|node| node.traffic.messages).sum();
    let highest = group.nodes.iter().map(bytes).max().unwrap_or_default();
    vec![
        count.to_string(),
        load.name.to_owned(),
        (sum / count as u64).to_string(),
        highest.to_string(),
        format!("{:.1}", messages as f64 / (count as f64 * seconds as f64)),
        format!("{:.0}", busy.as_micros() as f64 / (count as f64 * seconds as f64)),
        (memory >> 10).to_string(),
    ]
}

fn play(group: &mut gossip::Group, load: &Load) {
    let start = group.now();
    let mut changes = 0;
    let mut replaced = 0;
    while group.now().since(start) < LENGTH {
        let passed = group.now().since(start);
        if load.change.is_some_and(|every| passed >= every * changes) {
            changes += 1;
            group.configure(0, u64::from(changes));
        }
        if load.replace.is_some_and(|every| passed >= every * replaced) {
            replaced += 1;
            let count = group.nodes.len();
            group.replace(2 + (replaced as usize * 7) % (count - 2));
        }
        group.step();
    }
}
