//! One run.

use std::{collections, iter, net, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::recovery::Disturbance;

const ENDPOINTS: usize = 24;
const SLOTS: u32 = 3;

/// The interval between two requests, in milliseconds: a little more than half of the slots are taken.
const REQUEST_INTERVAL_MS: u64 = 10;

/// The lengths of the prompts in tokens, in turn.
const PROMPTS: [u32; 3] = [300, 1_500, 4_000];

/// The number of tokens of an answer, and of an event.
const ANSWER_TOKENS: u32 = 84;
const EVENT_TOKENS: u32 = 4;

/// The time from one event to the next, in milliseconds.
const EVENT_MS: u64 = 15;

/// The time to a first event without the reading of the prompt, in milliseconds, and how many prompt tokens
/// are read in a millisecond.
const OVERHEAD_MS: u64 = 60;
const PROMPT_TOKENS_PER_MS: u64 = 40;

/// How long a request may take to its first event until it is late, and until its caller leaves, in milliseconds.
const OBJECTIVE_MS: u64 = 500;
const PATIENCE_MS: u64 = 3_000;

/// How often arrivals and decisions are processed, in milliseconds.
const TICK_MS: u64 = 5;

/// How long a run goes on after the disturbance, in milliseconds.
const OBSERVED_MS: u64 = 15_000;

/// The time over which the rate of answers is measured, in milliseconds.
const WINDOW_MS: u64 = 500;

/// The part of the rate before the disturbance that counts as recovered.
const RECOVERED_PART: f64 = 0.95;

/// A request at an endpoint.
#[derive(Clone, Debug)]
struct Running {
    grant: gateway::Grant,
    leaves_ms: u64,
    /// When the events arrive, in milliseconds, the last one first.
    events: Vec<u64>,
    /// When the last event arrived, in milliseconds; `None` before the first one.
    last_event: Option<u64>,
    failure: Option<gateway::Outcome>,
}

/// A pool at the daemon that places all requests, and its endpoints.
struct Simulation {
    disturbance: Disturbance,
    pool: gateway::Pool,
    waiting: collections::HashMap<gateway::Ticket, gateway::PoolRequest>,
    running: Vec<Running>,
    /// When answers ended, in milliseconds.
    served: Vec<u64>,
}

/// Plays a disturbance and returns the time from its end until answers are served at the rate before it again, in
/// milliseconds; `None` if they are not within 15 s.
pub fn recovery_ms(disturbance: Disturbance) -> Option<u64> {
    let mut simulation = Simulation::new(disturbance);
    let end = disturbance.end_ms + OBSERVED_MS;
    for now in (0..end).step_by(TICK_MS as usize) {
        simulation.deliver(now);
        if now % REQUEST_INTERVAL_MS == 0 {
            simulation.submit(now);
        }
        simulation.settle(now);
    }
    simulation.recovery(end)
}

impl Simulation {
    fn new(disturbance: Disturbance) -> Self {
        let mut pool = gateway::Pool::new(gateway::PoolParams::default(), EVENT_TOKENS);
        for number in 0..ENDPOINTS {
            pool.upsert_endpoint(Timestamp::ZERO, &entry(number));
        }
        let waiting = collections::HashMap::new();
        Self { disturbance, pool, waiting, running: Vec::new(), served: Vec::new() }
    }

    fn submit(&mut self, now: u64) {
        let request = request(now);
        match self.pool.submit(at(now), request.clone()) {
            gateway::Admission::Granted(grant) => self.start(now, grant, &request),
            gateway::Admission::Queued(ticket) => {
                self.waiting.insert(ticket, request);
            }
            gateway::Admission::Refused(_) => {}
        }
    }

    fn settle(&mut self, now: u64) {
        for (ticket, decision) in self.pool.settle(at(now)) {
            let Some(request) = self.waiting.remove(&ticket) else { continue };
            if let gateway::QueueDecision::Granted(grant) = decision {
                self.start(now, grant, &request);
            }
        }
        let pool = &mut self.pool;
        self.waiting.retain(|ticket, request| {
            let has_left = request.leaves_at <= at(now);
            if has_left {
                pool.cancel(at(now), *ticket);
            }
            !has_left
        });
    }

    fn start(&mut self, now: u64, grant: gateway::Grant, request: &gateway::PoolRequest) {
        let disturbance = self.disturbance;
        let read_ms = u64::from(grant.prompt) / PROMPT_TOKENS_PER_MS;
        let first = disturbance.completion(now, OVERHEAD_MS + read_ms);
        let next = |time: &u64| Some(disturbance.completion(*time, EVENT_MS));
        let sent = iter::successors(Some(first), next);
        let arrivals = sent.map(|time| disturbance.arrival(time));
        let mut events: Vec<_> = arrivals.take((ANSWER_TOKENS / EVENT_TOKENS) as usize).collect();
        events.reverse();
        self.running.push(Running {
            leaves_ms: request.leaves_at.as_micros() / 1_000,
            events,
            last_event: None,
            failure: disturbance.failure(now),
            grant,
        });
    }

    fn deliver(&mut self, now: u64) {
        for mut running in std::mem::take(&mut self.running) {
            if let Some(outcome) = running.failure {
                self.pool.end_request(at(now), &running.grant, running.grant.prompt, outcome);
                continue;
            }
            self.deliver_events(now, &mut running);
            let grant = &running.grant;
            if running.events.is_empty() {
                self.pool.end_request(at(now), grant, 0, gateway::Outcome::Served);
                self.served.push(now);
            } else if running.last_event.is_none() && running.leaves_ms <= now {
                let outcome = gateway::Outcome::Cancelled;
                self.pool.end_request(at(now), grant, grant.prompt, outcome);
            } else {
                self.running.push(running);
            }
        }
    }

    fn deliver_events(&mut self, now: u64, running: &mut Running) {
        let grant = &running.grant;
        while running.events.pop_if(|due| *due <= now).is_some() {
            match running.last_event.replace(now) {
                None => self.pool.record_first_event(at(now), grant, grant.prompt),
                Some(last) => {
                    self.pool.record_event(at(now), grant, (now - last) as f64 / 1_000.0);
                }
            }
        }
    }

    /// Returns the time from the end of the disturbance to the end of the last window in which too few answers
    /// ended.
    fn recovery(&self, end: u64) -> Option<u64> {
        let count = |start: u64| {
            self.served.iter().filter(|time| (start..start + WINDOW_MS).contains(time)).count()
        };
        let before = count(self.disturbance.start_ms - WINDOW_MS);
        let is_low = |start: &u64| (count(*start) as f64) < before as f64 * RECOVERED_PART;
        let starts = (self.disturbance.end_ms..=end - WINDOW_MS).step_by(100);
        let low = starts.filter(is_low).last();
        let recovered = low.map_or(0, |start| start + WINDOW_MS - self.disturbance.end_ms);
        (recovered < OBSERVED_MS - WINDOW_MS).then_some(recovered)
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn entry(number: usize) -> gateway::RosterEntry {
    gateway::RosterEntry {
        endpoint: format!("engine-{number}").as_str().into(),
        start: 0,
        service: "assistant".into(),
        version: "v1".into(),
        address: net::SocketAddr::from(([127, 0, 0, 1], 7_420)),
        zone: "salem".into(),
        slots: SLOTS,
        draining: false,
    }
}

fn request(now: u64) -> gateway::PoolRequest {
    gateway::PoolRequest {
        rank: 0,
        route: 0,
        zone: "salem".into(),
        prompt: PROMPTS[(now / REQUEST_INTERVAL_MS) as usize % PROMPTS.len()],
        parts: Vec::new(),
        expected_tokens: f64::from(ANSWER_TOKENS),
        max_pause: time::Duration::from_millis(400),
        objective: at(now + OBJECTIVE_MS),
        leaves_at: at(now + PATIENCE_MS),
        deadline: at(now + 5 * PATIENCE_MS),
        returning: false,
        repeatable: false,
        tried: Vec::new(),
        version: None,
    }
}
