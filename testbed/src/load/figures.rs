//! Figures of a load run.

use std::collections;

use tokio::time::Instant;
use trefoildyke_types::time::Timestamp;

use crate::{
    experiment::{arrivals, figures, policy, run, scenario},
    load, model,
};

/// Holds the figures of a load run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFigures {
    /// The scenario.
    pub scenario: String,
    /// Requests sent a second, steady arrivals only.
    pub rate: f64,
    /// The tiers, the most urgent first; a request that was lost or broken counts as cut.
    pub tiers: Vec<figures::TierFigures>,
    /// Attempts over all requests.
    pub attempts: u64,
    /// Refused attempts.
    pub refusals: u64,
    /// Requests that ended so, by what ended them.
    pub endings: collections::BTreeMap<String, u64>,
    /// Answers that broke a promise, with what was wrong; must be empty.
    pub broken: Vec<String>,
}

impl LoadFigures {
    /// Works out the figures from what the callers saw.
    pub fn of(
        scenario: &scenario::Scenario,
        rate: f64,
        arrivals: &[arrivals::Arrival],
        logs: &[load::RequestLog],
    ) -> Self {
        let mut gaps: Vec<_> = scenario.tiers.iter().map(|_| figures::histogram()).collect();
        let mut records = Vec::new();
        for (arrival, log) in arrivals.iter().zip(logs) {
            let histogram = &mut gaps[usize::from(arrival.rank)];
            log.gaps.iter().for_each(|gap| histogram.saturating_record(*gap));
            records.push(record(arrival, log));
        }
        let (engines, traffic) = (model::Totals::default(), policy::Traffic::default());
        let result = run::RunResult { records, engines, doubled: 0, traffic, gaps };
        let ranks = 0..scenario.tiers.len() as u8;
        let tier = |rank| figures::TierFigures::of(scenario, arrivals, &result, rank);
        Self {
            scenario: scenario.name.clone(),
            rate,
            tiers: ranks.map(tier).collect(),
            attempts: logs.iter().map(|log| u64::from(log.attempts)).sum(),
            refusals: logs.iter().map(|log| u64::from(log.refusals)).sum(),
            endings: endings(logs),
            broken: logs.iter().filter_map(broken).collect(),
        }
    }
}

/// Translates what a caller saw into the terms of the experiments.
fn record(arrival: &arrivals::Arrival, log: &load::RequestLog) -> run::Record {
    let at = |instant: Instant| arrival.at + instant.duration_since(log.due);
    let ended = log.ended.as_ref().map(|(when, ending)| (at(*when), outcome(ending)));
    run::Record {
        placed: None,
        first: log.first.map(at),
        latest: log.latest.map(at),
        tokens: 0,
        ended: ended.or(Some((Timestamp::ZERO, run::Outcome::Cut))),
    }
}

fn outcome(ending: &load::Ending) -> run::Outcome {
    match ending {
        load::Ending::Whole => run::Outcome::Completed,
        load::Ending::Refused(refusal) => match refusal.kind {
            trefoildyke_types::request::RefusalKind::NotRun => run::Outcome::Shed,
            _ => run::Outcome::Cut,
        },
        load::Ending::Late => run::Outcome::Late,
        load::Ending::Broken(_) | load::Ending::Lost(_) => run::Outcome::Cut,
    }
}

fn endings(logs: &[load::RequestLog]) -> collections::BTreeMap<String, u64> {
    let mut endings = collections::BTreeMap::new();
    for (_, ending) in logs.iter().filter_map(|log| log.ended.as_ref()) {
        let name = match ending {
            load::Ending::Whole => "whole".to_owned(),
            load::Ending::Refused(refusal) => format!("{:?}: {}", refusal.kind, refusal.reason),
            load::Ending::Broken(_) => "broken".to_owned(),
            load::Ending::Lost(_) => "lost".to_owned(),
            load::Ending::Late => "late".to_owned(),
        };
        *endings.entry(name).or_default() += 1;
    }
    endings
}

fn broken(log: &load::RequestLog) -> Option<String> {
    match &log.ended {
        Some((_, load::Ending::Broken(fault))) => Some(fault.to_string()),
        _ => None,
    }
}

/// Returns the figures as a table for a person to read.
pub fn load_table(figures: &LoadFigures) -> comfy_table::Table {
    let mut table = comfy_table::Table::new();
    table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
    table.set_header([
        "tier",
        "arrived",
        "completed",
        "goodput",
        "shed",
        "late",
        "cut",
        "first p50 ms",
        "first p95 ms",
        "first p99 ms",
        "gap p95 ms",
        "least fair share",
    ]);
    for tier in &figures.tiers {
        table.add_row([
            tier.tier.clone(),
            tier.arrived.to_string(),
            tier.completed.to_string(),
            format!("{:.3}", tier.goodput),
            tier.shed.to_string(),
            tier.late.to_string(),
            tier.cut.to_string(),
            format!("{:.1}", tier.first_ms.p50),
            format!("{:.1}", tier.first_ms.p95),
            format!("{:.1}", tier.first_ms.p99),
            format!("{:.1}", tier.gap_ms.p95),
            format!("{:.2}", tier.least_ratio()),
        ]);
    }
    table
}
