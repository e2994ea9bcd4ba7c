//! The run itself.

use std::time;

use trefoildyke_types::{engine, id, time::Timestamp};

use super::{agenda, faults, pool};
use crate::{
    experiment::{arrivals, figures, policy, run, scenario},
    model,
};

/// After how many tokens a coordinator reports progress again.
const PROGRESS_TOKENS: u32 = 32;

/// Runs `arrivals` against one policy until every request has ended.
///
/// All of it follows from the arguments: the same ones give the same result.
pub fn simulate(
    scenario: &scenario::Scenario,
    arrivals: &[arrivals::Arrival],
    variant: policy::Variant,
    seed: u64,
) -> run::RunResult {
    let mut simulation = Simulation::new(scenario, arrivals, variant, seed);
    while simulation.open > 0 {
        let Some((now, event)) = simulation.agenda.next() else { break };
        simulation.now = now;
        simulation.happen(event);
    }
    simulation.into_result()
}

struct Simulation<'a> {
    scenario: &'a scenario::Scenario,
    arrivals: &'a [arrivals::Arrival],
    variant: policy::Variant,
    now: Timestamp,
    agenda: agenda::Agenda,
    pool: pool::Pool,
    policy: policy::Policy,
    records: Vec<run::Record>,
    /// How many requests have not ended.
    open: usize,
    /// When each host is woken; other wake-ups are void.
    wakes: Vec<Option<Timestamp>>,
    gaps: Vec<hdrhistogram::Histogram<u64>>,
}

impl<'a> Simulation<'a> {
    fn new(
        scenario: &'a scenario::Scenario,
        arrivals: &'a [arrivals::Arrival],
        variant: policy::Variant,
        seed: u64,
    ) -> Self {
        let mut simulation = Self {
            scenario,
            arrivals,
            variant,
            now: Timestamp::ZERO,
            agenda: agenda::Agenda::default(),
            pool: pool::Pool::new(scenario, seed),
            policy: variant.create(&policy::Fleet::new(scenario), seed),
            records: vec![run::Record::default(); arrivals.len()],
            open: arrivals.len(),
            wakes: vec![None; usize::from(scenario.hosts)],
            gaps: scenario.tiers.iter().map(|_| figures::histogram()).collect(),
        };
        simulation.plan();
        simulation
    }

    fn plan(&mut self) {
        faults::add(self.scenario, &mut self.agenda);
        for (number, arrival) in self.arrivals.iter().enumerate() {
            self.agenda.add(arrival.at, agenda::Event::Arrive(number));
            self.agenda.add(arrival.deadline(), agenda::Event::Deadline(number));
        }
        let count = self.scenario.engine_count();
        let period = self.period();
        for endpoint in 0..count {
            // Endpoints report in turn, so that reports are of unlike age.
            let offset = period.mul_f64((endpoint + 1) as f64 / count as f64);
            self.agenda.add(Timestamp::ZERO + offset, agenda::Event::Report(endpoint));
        }
    }

    fn period(&self) -> time::Duration {
        time::Duration::from_millis(self.scenario.reports.period_ms)
    }

    fn happen(&mut self, event: agenda::Event) {
        match event {
            agenda::Event::Arrive(number) => {
                let arrivals = self.arrivals;
                self.tell(policy::Input::Arrive(&arrivals[number]));
            }
            agenda::Event::Deadline(number) => self.give_up(number),
            agenda::Event::Engine(endpoint) => {
                if self.pool.take_look(endpoint, self.now) {
                    self.look(endpoint);
                }
            }
            agenda::Event::Report(endpoint) => {
                self.report(endpoint);
                self.agenda.add(self.now + self.period(), agenda::Event::Report(endpoint));
            }
            agenda::Event::Probe(endpoint) => self.report(endpoint),
            agenda::Event::Tick(host) => self.tick(host),
            agenda::Event::Straggle(at) => {
                let straggler = &self.scenario.stragglers[at];
                let mode = model::Mode::Straggle(straggler.factor);
                self.set_mode(usize::from(straggler.endpoint), mode);
            }
            agenda::Event::Recover(at) => {
                let endpoint = usize::from(self.scenario.stragglers[at].endpoint);
                self.set_mode(endpoint, model::Mode::Ok);
            }
            agenda::Event::Leave(endpoint) => self.tell(policy::Input::Leaving(endpoint)),
            agenda::Event::Lose(endpoint) => {
                self.look(endpoint);
                self.pool.lose(endpoint, self.now);
            }
            agenda::Event::Notice(endpoint) => self.notice(endpoint),
            agenda::Event::LoseScheduler => self.tell(policy::Input::SchedulerLost),
            agenda::Event::ReplaceScheduler => self.tell(policy::Input::SchedulerReplaced),
        }
    }

    fn set_mode(&mut self, endpoint: usize, mode: model::Mode) {
        self.look(endpoint);
        self.pool.set_mode(endpoint, self.now, mode);
        self.plan_look(endpoint);
    }

    fn report(&mut self, endpoint: usize) {
        if !self.pool.is_lost(endpoint) {
            let report = self.pool.load_report(endpoint, self.now);
            self.tell(policy::Input::Load(endpoint, report));
        }
    }

    fn tick(&mut self, host: u16) {
        if self.wakes[usize::from(host)] == Some(self.now) {
            self.wakes[usize::from(host)] = None;
            self.tell(policy::Input::Tick(host));
        }
    }

    /// Settles what ran at a lost endpoint and tells the policy.
    fn notice(&mut self, endpoint: usize) {
        for number in 0..self.records.len() {
            let record = &self.records[number];
            let there = record.placed.is_some_and(|(_, at)| at == endpoint);
            if there && record.ended.is_none() {
                self.end(number, run::Outcome::Cut);
            }
        }
        self.tell(policy::Input::Gone(endpoint));
    }

    fn give_up(&mut self, number: usize) {
        let record = self.records[number];
        if record.ended.is_some() {
            return;
        }
        let arrivals = self.arrivals;
        let arrival = &arrivals[number];
        let Some((_, endpoint)) = record.placed else {
            self.end(number, run::Outcome::Expired);
            self.tell(policy::Input::GiveUp(arrival));
            return;
        };
        self.look(endpoint);
        if self.records[number].ended.is_some() {
            return;
        }
        self.withdraw(endpoint, arrival);
        self.end(number, run::Outcome::Late);
        let ending = policy::Ending::Cancelled(record.tokens);
        self.tell(policy::Input::Ended(arrival, ending));
    }

    fn withdraw(&mut self, endpoint: usize, arrival: &arrivals::Arrival) {
        if !self.pool.is_lost(endpoint) {
            self.pool.cancel(endpoint, self.now, &arrival.key);
            self.pool.release(endpoint);
            self.plan_look(endpoint);
        }
    }

    fn end(&mut self, number: usize, outcome: run::Outcome) {
        self.records[number].ended = Some((self.now, outcome));
        self.open -= 1;
    }

    fn tell(&mut self, input: policy::Input<'_>) {
        let mut actions = Vec::new();
        self.policy.step(self.now, input, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: policy::Action) {
        match action {
            policy::Action::Place { number, endpoint } => self.place(number, endpoint),
            policy::Action::Shed { number } => {
                if self.records[number].ended.is_none() {
                    self.end(number, run::Outcome::Shed);
                }
            }
            policy::Action::Probe { endpoint } => {
                self.agenda.add(self.now, agenda::Event::Probe(endpoint));
            }
            policy::Action::WakeAt { host, at } => {
                let at = at.max(self.now);
                if self.wakes[usize::from(host)] != Some(at) {
                    self.wakes[usize::from(host)] = Some(at);
                    self.agenda.add(at, agenda::Event::Tick(host));
                }
            }
        }
    }

    fn place(&mut self, number: usize, endpoint: usize) {
        if self.records[number].ended.is_some() {
            return;
        }
        let queue = self.variant.engine_queue(self.pool.slots(endpoint));
        if !self.pool.has_room(endpoint, queue) {
            self.end(number, run::Outcome::Shed);
            return;
        }
        self.records[number].placed = Some((self.now, endpoint));
        if self.pool.is_lost(endpoint) {
            return;
        }
        let arrivals = self.arrivals;
        self.look(endpoint);
        self.pool.submit(endpoint, self.now, &arrivals[number]);
        self.plan_look(endpoint);
    }

    /// Moves an engine to now and takes in what happened.
    fn look(&mut self, endpoint: usize) {
        if self.pool.is_lost(endpoint) {
            return;
        }
        let events = self.pool.advance(endpoint, self.now);
        self.plan_look(endpoint);
        let mut cache = Vec::new();
        for event in events {
            match event {
                model::ModelEvent::Cache { event, .. } => cache.push(event),
                other => self.take_in(endpoint, other),
            }
        }
        self.tell_cache(endpoint, &cache);
    }

    fn plan_look(&mut self, endpoint: usize) {
        if let Some(at) = self.pool.next_look(endpoint) {
            self.agenda.add(at, agenda::Event::Engine(endpoint));
        }
    }

    fn tell_cache(&mut self, endpoint: usize, events: &[engine::CacheEvent]) {
        if !events.is_empty() {
            self.tell(policy::Input::Cache(endpoint, events));
        }
    }

    fn take_in(&mut self, endpoint: usize, event: model::ModelEvent) {
        match event {
            model::ModelEvent::Tokens { key, offset, count, at } => {
                self.tokens(&key, offset + count, at);
            }
            model::ModelEvent::Finished { key, .. } => {
                let number = arrivals::Arrival::number_of(&key);
                if self.records[number].ended.is_some() {
                    return;
                }
                self.pool.release(endpoint);
                self.end(number, run::Outcome::Completed);
                let arrivals = self.arrivals;
                let ending = policy::Ending::Whole(self.records[number].tokens);
                self.tell(policy::Input::Ended(&arrivals[number], ending));
            }
            model::ModelEvent::FirstToken { .. }
            | model::ModelEvent::Cancelled { .. }
            | model::ModelEvent::Cache { .. } => {}
        }
    }

    fn tokens(&mut self, key: &id::RequestKey, tokens: u32, at: Timestamp) {
        let number = arrivals::Arrival::number_of(key);
        let arrivals = self.arrivals;
        let arrival = &arrivals[number];
        let record = &mut self.records[number];
        if record.ended.is_some() {
            return;
        }
        record.tokens = tokens;
        if let Some(latest) = record.latest.replace(at) {
            let gap = at.since(latest).as_micros() as u64;
            self.gaps[usize::from(arrival.rank)].saturating_record(gap);
        }
        if record.first.is_none() {
            record.first = Some(at);
            self.tell(policy::Input::FirstToken(arrival));
        } else if tokens.is_multiple_of(PROGRESS_TOKENS) {
            self.tell(policy::Input::Progress(arrival, tokens));
        }
    }

    fn into_result(self) -> run::RunResult {
        run::RunResult {
            records: self.records,
            engines: self.pool.totals(),
            doubled: self.pool.doubled(),
            traffic: self.policy.traffic(),
            gaps: self.gaps,
        }
    }
}
