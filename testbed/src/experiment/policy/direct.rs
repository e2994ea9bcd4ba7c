//! Baselines that place each request at once.

use rand::{Rng, SeedableRng, rngs};

use crate::experiment::policy;

/// Says how a baseline chooses the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any endpoint, equally likely.
    Random,
    /// Each host goes round the endpoints on its own.
    RoundRobin,
    /// The endpoint with the least load by report, ties at random.
    LeastLoaded,
    /// The less loaded by report of two random endpoints.
    TwoChoices,
}

/// Places each request when it arrives, by load reports at most; the wait is in the engines.
///
/// Each host adds to a report what it has placed itself since the report came, as a careful
/// balancer does. It knows nothing of what other hosts have placed.
#[derive(Clone, Debug)]
pub struct Direct {
    choice: Choice,
    rng: rngs::StdRng,
    /// Which endpoints may be used, as far as is known.
    usable: Vec<bool>,
    /// Running and waiting requests by the last report of each endpoint, over its slots.
    reported: Vec<f64>,
    slots: Vec<f64>,
    /// What each host placed at each endpoint since the endpoint's last report.
    placed: Vec<Vec<f64>>,
    /// Where each host goes on.
    next: Vec<usize>,
    traffic: policy::Traffic,
}

impl Direct {
    /// Creates the baseline; `seed` decides its random choices.
    pub fn new(choice: Choice, fleet: &policy::Fleet, seed: u64) -> Self {
        let (hosts, count) = (usize::from(fleet.hosts), fleet.endpoints.len());
        Self {
            choice,
            rng: rngs::StdRng::seed_from_u64(seed),
            usable: vec![true; count],
            reported: vec![0.0; count],
            slots: fleet.endpoints.iter().map(|endpoint| f64::from(endpoint.slots)).collect(),
            placed: vec![vec![0.0; count]; hosts],
            next: (0..hosts).collect(),
            traffic: policy::Traffic::default(),
        }
    }

    /// Takes in one event.
    pub fn step(&mut self, input: policy::Input<'_>, actions: &mut Vec<policy::Action>) {
        match input {
            policy::Input::Arrive(arrival) => {
                let number = arrival.number();
                actions.push(match self.choose(usize::from(arrival.host)) {
                    Some(endpoint) => policy::Action::Place { number, endpoint },
                    None => policy::Action::Shed { number },
                });
            }
            policy::Input::Load(endpoint, report) => self.load(endpoint, &report),
            policy::Input::Leaving(endpoint) | policy::Input::Gone(endpoint) => {
                self.usable[endpoint] = false;
            }
            _ => {}
        }
    }

    /// Returns the messages so far.
    pub fn traffic(&self) -> policy::Traffic {
        self.traffic
    }

    fn load(&mut self, endpoint: usize, report: &trefoildyke_types::engine::LoadReport) {
        if matches!(self.choice, Choice::Random | Choice::RoundRobin) {
            return;
        }
        self.traffic.count(report, self.placed.len() as u64);
        self.reported[endpoint] = f64::from(report.running + report.waiting);
        for placed in &mut self.placed {
            placed[endpoint] = 0.0;
        }
    }

    fn choose(&mut self, host: usize) -> Option<usize> {
        let usable: Vec<_> = (0..self.usable.len()).filter(|at| self.usable[*at]).collect();
        if usable.is_empty() {
            return None;
        }
        let endpoint = match self.choice {
            Choice::Random => usable[self.rng.random_range(0..usable.len())],
            Choice::RoundRobin => self.rotate(host, &usable),
            Choice::LeastLoaded => self.least(host, &usable),
            Choice::TwoChoices => self.two(host, &usable),
        };
        self.placed[host][endpoint] += 1.0;
        Some(endpoint)
    }

    fn rotate(&mut self, host: usize, usable: &[usize]) -> usize {
        self.next[host] += 1;
        usable[self.next[host] % usable.len()]
    }

    fn least(&mut self, host: usize, usable: &[usize]) -> usize {
        let loads: Vec<_> = usable.iter().map(|at| self.load_of(host, *at)).collect();
        let least = loads.iter().copied().fold(f64::INFINITY, f64::min);
        let ties: Vec<_> = usable
            .iter()
            .zip(&loads)
            .filter(|(_, load)| **load <= least)
            .map(|(at, _)| *at)
            .collect();
        ties[self.rng.random_range(0..ties.len())]
    }

    fn two(&mut self, host: usize, usable: &[usize]) -> usize {
        let first = usable[self.rng.random_range(0..usable.len())];
        let second = usable[self.rng.random_range(0..usable.len())];
        if self.load_of(host, second) < self.load_of(host, first) { second } else { first }
    }

    fn load_of(&self, host: usize, endpoint: usize) -> f64 {
        (self.reported[endpoint] + self.placed[host][endpoint]) / self.slots[endpoint]
    }
}
