//! Figures of one tier.

use crate::experiment::{arrivals, figures, run, scenario};

/// Holds the figures of one tier in one run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierFigures {
    /// The tier.
    pub tier: String,
    /// Requests that arrived; the sum of the next five.
    pub arrived: u64,
    /// Requests whose whole answer came within the deadline.
    pub completed: u64,
    /// Requests that were refused before they were placed.
    pub shed: u64,
    /// Requests whose callers gave up before they were placed.
    pub expired: u64,
    /// Requests whose callers gave up after they were placed.
    pub late: u64,
    /// Requests that were cut off by the loss of an endpoint.
    pub cut: u64,
    /// `completed` over `arrived`; 1 if nothing arrived.
    pub goodput: f64,
    /// The time to the first token, of requests that got one.
    pub first_ms: figures::Percentiles,
    /// The time between tokens.
    pub gap_ms: figures::Percentiles,
    /// What each client account got.
    pub accounts: Vec<figures::AccountFigures>,
}

impl TierFigures {
    /// Works out the figures of the tier with `rank`.
    pub fn of(
        scenario: &scenario::Scenario,
        arrivals: &[arrivals::Arrival],
        result: &run::RunResult,
        rank: u8,
    ) -> Self {
        let mut first = figures::histogram();
        let mut counts = Counts::default();
        let pairs = arrivals.iter().zip(&result.records);
        for (arrival, record) in pairs.filter(|(arrival, _)| arrival.rank == rank) {
            counts.add(record);
            if let Some(at) = record.first {
                first.saturating_record(at.since(arrival.at).as_micros() as u64);
            }
        }
        Self {
            tier: scenario.tiers[usize::from(rank)].name.clone(),
            arrived: counts.arrived,
            completed: counts.completed,
            shed: counts.shed,
            expired: counts.expired,
            late: counts.late,
            cut: counts.cut,
            goodput: counts.goodput(),
            first_ms: figures::Percentiles::of(&first),
            gap_ms: figures::Percentiles::of(&result.gaps[usize::from(rank)]),
            accounts: figures::fairness(scenario, arrivals, &result.records, rank),
        }
    }

    /// Returns the smallest ratio of what an account got to its fair share.
    pub fn least_ratio(&self) -> f64 {
        self.accounts.iter().map(|account| account.ratio).fold(f64::INFINITY, f64::min)
    }
}

#[derive(Default)]
struct Counts {
    arrived: u64,
    completed: u64,
    shed: u64,
    expired: u64,
    late: u64,
    cut: u64,
}

impl Counts {
    fn add(&mut self, record: &run::Record) {
        self.arrived += 1;
        match record.outcome() {
            Some(run::Outcome::Completed) => self.completed += 1,
            Some(run::Outcome::Shed) => self.shed += 1,
            Some(run::Outcome::Expired) => self.expired += 1,
            Some(run::Outcome::Late) => self.late += 1,
            Some(run::Outcome::Cut) => self.cut += 1,
            None => {}
        }
    }

    fn goodput(&self) -> f64 {
        if self.arrived == 0 { 1.0 } else { self.completed as f64 / self.arrived as f64 }
    }
}
