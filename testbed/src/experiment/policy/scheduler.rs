//! The project's own scheduler as a policy.

use std::collections;

use trefoildyke_decide::schedule;
use trefoildyke_types::{engine, id, time::Timestamp};

use super::coordinators;
use crate::experiment::{arrivals, policy};

/// Drives one [`schedule::Shard`] and the coordinators that it serves.
#[derive(Clone, Debug)]
pub struct Scheduler {
    params: schedule::Params,
    fleet: policy::Fleet,
    positions: collections::HashMap<id::EndpointName, usize>,
    /// The host that the scheduler runs on.
    host: u16,
    /// Whether coordinators on other hosts reach it by messages.
    remote: bool,
    incarnation: u64,
    /// `None` while the scheduler is lost.
    shard: Option<schedule::Shard>,
    leaving: collections::BTreeSet<usize>,
    gone: collections::BTreeSet<usize>,
    coordinators: coordinators::Coordinators,
    traffic: policy::Traffic,
}

impl Scheduler {
    /// Creates a scheduler on `host`; `remote` says that coordinators reach it by messages.
    pub fn new(fleet: &policy::Fleet, host: u16, remote: bool) -> Self {
        let positions = fleet.endpoints.iter().enumerate();
        let positions = positions.map(|(at, endpoint)| (endpoint.name.clone(), at)).collect();
        let mut scheduler = Self {
            params: schedule::Params::default(),
            fleet: fleet.clone(),
            positions,
            host,
            remote,
            incarnation: 0,
            shard: None,
            leaving: collections::BTreeSet::new(),
            gone: collections::BTreeSet::new(),
            coordinators: coordinators::Coordinators::default(),
            traffic: policy::Traffic::default(),
        };
        scheduler.start(Timestamp::ZERO, &mut Vec::new());
        scheduler
    }

    /// Returns the messages so far.
    pub fn traffic(&self) -> policy::Traffic {
        self.traffic
    }

    /// Takes in one event.
    pub fn step(
        &mut self,
        now: Timestamp,
        input: policy::Input<'_>,
        actions: &mut Vec<policy::Action>,
    ) {
        match input {
            policy::Input::Arrive(arrival) => {
                let ask = self.coordinators.arrive(arrival);
                self.send(now, schedule::Input::Ask(ask), actions);
            }
            policy::Input::GiveUp(arrival) => self.give_up(now, arrival, actions),
            policy::Input::FirstToken(arrival) => {
                self.coordinators.progress(arrival.number(), 1);
                let report = schedule::Report::FirstToken { key: arrival.key.clone() };
                self.send(now, schedule::Input::Report(report), actions);
            }
            policy::Input::Progress(arrival, tokens) => {
                self.coordinators.progress(arrival.number(), tokens);
                let report = schedule::Report::Progress { key: arrival.key.clone(), tokens };
                self.send(now, schedule::Input::Report(report), actions);
            }
            policy::Input::Ended(arrival, ending) => self.ended(now, arrival, ending, actions),
            policy::Input::Load(endpoint, report) => self.load(now, endpoint, report, actions),
            policy::Input::Cache(endpoint, events) => self.cache(now, endpoint, events, actions),
            policy::Input::Leaving(endpoint) => {
                self.leaving.insert(endpoint);
                let name = self.name(endpoint);
                self.feed(now, schedule::Input::EndpointLeaving(name), actions);
            }
            policy::Input::Gone(endpoint) => {
                self.gone.insert(endpoint);
                self.coordinators.lose(endpoint);
                let name = self.name(endpoint);
                self.feed(now, schedule::Input::EndpointGone(name), actions);
            }
            policy::Input::SchedulerLost => self.shard = None,
            policy::Input::SchedulerReplaced => self.start(now, actions),
            policy::Input::Tick(_) => self.feed(now, schedule::Input::Tick, actions),
        }
    }

    fn give_up(
        &mut self,
        now: Timestamp,
        arrival: &arrivals::Arrival,
        actions: &mut Vec<policy::Action>,
    ) {
        self.coordinators.forget(arrival.number());
        let report = schedule::Report::Cancel { key: arrival.key.clone() };
        self.send(now, schedule::Input::Report(report), actions);
    }

    fn ended(
        &mut self,
        now: Timestamp,
        arrival: &arrivals::Arrival,
        ending: policy::Ending,
        actions: &mut Vec<policy::Action>,
    ) {
        self.coordinators.forget(arrival.number());
        let (tokens, outcome) = match ending {
            policy::Ending::Whole(tokens) => (tokens, schedule::Outcome::Whole),
            policy::Ending::Cancelled(tokens) => (tokens, schedule::Outcome::Cancelled),
            policy::Ending::Lost => (0, schedule::Outcome::Failed),
        };
        let key = arrival.key.clone();
        let report = schedule::Report::Finished { key, tokens, outcome };
        self.send(now, schedule::Input::Report(report), actions);
    }

    fn load(
        &mut self,
        now: Timestamp,
        endpoint: usize,
        report: engine::LoadReport,
        actions: &mut Vec<policy::Action>,
    ) {
        let as_of = Timestamp::from_millis(report.as_of_ms);
        let input = schedule::Input::Load { endpoint: self.name(endpoint), as_of, report };
        self.traffic.count(&input, 1);
        self.feed(now, input, actions);
    }

    fn cache(
        &mut self,
        now: Timestamp,
        endpoint: usize,
        events: &[engine::CacheEvent],
        actions: &mut Vec<policy::Action>,
    ) {
        let endpoint = self.name(endpoint);
        let input = schedule::Input::Cache { endpoint, events: events.to_vec() };
        self.traffic.count(&input, 1);
        self.feed(now, input, actions);
    }

    fn name(&self, endpoint: usize) -> id::EndpointName {
        self.fleet.endpoints[endpoint].name.clone()
    }

    /// Begins with a new shard and tells it of all that the coordinators remember.
    fn start(&mut self, now: Timestamp, actions: &mut Vec<policy::Action>) {
        self.incarnation += 1;
        let incarnation = id::Incarnation::from_u64(self.incarnation);
        self.shard = Some(schedule::Shard::new(self.params.clone(), incarnation));
        for (account, weight) in self.fleet.accounts.clone() {
            let share = schedule::AccountShare { account, weight, max_waiting: None };
            self.feed(now, schedule::Input::Account(share), actions);
        }
        for at in 0..self.fleet.endpoints.len() {
            self.bring_up(now, at, actions);
        }
        for input in self.coordinators.retell(now, &self.fleet) {
            self.send(now, input, actions);
        }
    }

    fn bring_up(&mut self, now: Timestamp, at: usize, actions: &mut Vec<policy::Action>) {
        if self.gone.contains(&at) {
            return;
        }
        let endpoint = &self.fleet.endpoints[at];
        let info = schedule::EndpointInfo {
            endpoint: endpoint.name.clone(),
            slots: endpoint.slots,
            cache_tokens: endpoint.cache_tokens,
        };
        self.feed(now, schedule::Input::EndpointUp(info), actions);
        if self.leaving.contains(&at) {
            let name = self.name(at);
            self.feed(now, schedule::Input::EndpointLeaving(name), actions);
        }
    }

    /// Counts a coordinator's message and feeds it in.
    fn send(&mut self, now: Timestamp, input: schedule::Input, actions: &mut Vec<policy::Action>) {
        if self.remote {
            self.traffic.count(&input, 1);
        }
        self.feed(now, input, actions);
    }

    fn feed(&mut self, now: Timestamp, input: schedule::Input, actions: &mut Vec<policy::Action>) {
        let Some(shard) = &mut self.shard else { return };
        for output in shard.step(now, input) {
            self.carry_out(now, output, actions);
        }
    }

    fn carry_out(
        &mut self,
        now: Timestamp,
        output: schedule::Output,
        actions: &mut Vec<policy::Action>,
    ) {
        if self.remote
            && matches!(output, schedule::Output::Grant(_) | schedule::Output::Shed { .. })
        {
            self.traffic.count(&output, 1);
        }
        match output {
            schedule::Output::Grant(permit) => {
                let number = arrivals::Arrival::number_of(&permit.key);
                let endpoint = self.positions[&permit.endpoint];
                let key = permit.key;
                if self.coordinators.place(number, endpoint) {
                    actions.push(policy::Action::Place { number, endpoint });
                    let report = schedule::Report::Started { key };
                    self.send(now, schedule::Input::Report(report), actions);
                }
            }
            schedule::Output::Shed { key, .. } => {
                let number = arrivals::Arrival::number_of(&key);
                if self.coordinators.forget(number) {
                    actions.push(policy::Action::Shed { number });
                }
            }
            schedule::Output::Probe(name) => {
                actions.push(policy::Action::Probe { endpoint: self.positions[&name] });
            }
            schedule::Output::WakeAt(at) => {
                actions.push(policy::Action::WakeAt { host: self.host, at });
            }
        }
    }
}
