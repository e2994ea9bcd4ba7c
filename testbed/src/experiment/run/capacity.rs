//! The capacity of a pool, measured.

use trefoildyke_types::time::Timestamp;

use super::pool;
use crate::{
    experiment::{arrivals, scenario},
    model,
};

/// The seed of the arrivals that capacity is measured with; no run uses it.
const SEED: u64 = 0x00c0_ffee;
/// About how many requests each engine works off.
const BACKLOG: f64 = 1_000.0;

/// Returns how many requests of the scenario's mix the whole pool works off in a second.
///
/// Each engine alone works off a long backlog of the mix, first come first served, with its prefix
/// cache, without deadlines and faults; the rates are added up. A policy that chooses well among
/// waiting requests, above all by their prefixes, can do more.
pub fn capacity(scenario: &scenario::Scenario) -> f64 {
    let plain = scenario::Scenario { bursts: Vec::new(), ..scenario.clone() };
    let rate = BACKLOG * 1_000.0 / plain.duration_ms as f64;
    let backlog = arrivals::generate(&plain, rate, SEED);
    let groups = scenario.engines.iter();
    groups.map(|group| f64::from(group.count) * group_rate(group, scenario, &backlog)).sum()
}

fn group_rate(
    group: &scenario::EngineGroup,
    scenario: &scenario::Scenario,
    backlog: &[arrivals::Arrival],
) -> f64 {
    let mut engine = model::Engine::new(pool::params(group, &scenario.reports));
    for arrival in backlog {
        engine.submit(Timestamp::ZERO, pool::job(arrival));
    }
    let mut end = Timestamp::ZERO;
    while engine.ledger().completed < backlog.len() as u64 {
        let Some(next) = engine.next_time() else { break };
        engine.advance(next);
        end = next;
    }
    backlog.len() as f64 / end.since(Timestamp::ZERO).as_secs_f64()
}
