//! Slots that stay free while requests wait.

use trefoildyke_types::time::Timestamp;

use crate::experiment::{arrivals, run, scenario};

/// Returns the share of slot time that was free while at least one request waited for a place;
/// 0 if none ever waited.
///
/// A request that is placed waits no longer here, though an engine may still queue it, so
/// policies that place at once show 0. Endpoints that are taken back count as free.
pub fn idle_share(
    scenario: &scenario::Scenario,
    arrivals: &[arrivals::Arrival],
    records: &[run::Record],
) -> f64 {
    let slots =
        scenario.engines.iter().map(|group| i64::from(group.count) * i64::from(group.slots));
    let slots: i64 = slots.sum();
    let (mut waiting, mut running, mut before) = (0, 0, Timestamp::ZERO);
    let (mut free, mut all) = (0.0, 0.0);
    for (at, waits, runs) in changes(arrivals, records) {
        let length = at.since(before).as_secs_f64();
        if waiting > 0 {
            free += length * (slots - running).max(0) as f64;
            all += length * slots as f64;
        }
        waiting += waits;
        running += runs;
        before = at;
    }
    if all > 0.0 { free / all } else { 0.0 }
}

/// Returns by how much the numbers of waiting and of running requests change, and when.
fn changes(arrivals: &[arrivals::Arrival], records: &[run::Record]) -> Vec<(Timestamp, i64, i64)> {
    let mut changes = Vec::new();
    for (arrival, record) in arrivals.iter().zip(records) {
        changes.push((arrival.at, 1, 0));
        changes.extend(record.left_queue().map(|at| (at, -1, 0)));
        let Some((placed, _)) = record.placed else { continue };
        changes.push((placed, 0, 1));
        changes.extend(record.ended.map(|(at, _)| (at, 0, -1)));
    }
    changes.sort_unstable();
    changes
}
