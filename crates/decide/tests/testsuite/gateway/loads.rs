//! Simulations of load patterns in virtual time.
//!
//! Each simulation runs arriving requests against a simple model of engines. Some engines are fast and some
//! slow. Each has a number of slots, reads prompts one after the other, and advances all its streams in one
//! step.

use std::time::Duration;

use trefoildyke_decide::gateway::{
    Admission, Grant, Outcome, Pool, PoolParams, PoolRequest, QueueDecision, RosterEntry, Ticket,
};
use trefoildyke_types::time::Timestamp;

use super::support::{at, grant_at};

/// The step time of each endpoint, as a multiple of the usual 4.7 ms.
const SPEEDS: [f64; 6] = [0.6, 1.7, 1.7, 0.6, 1.7, 1.7];

struct Running {
    grant: Grant,
    index: usize,
    first: u64,
    end: u64,
}

/// The result of one request.
#[derive(Clone, Copy, Debug, Default)]
struct RequestResult {
    rank: u8,
    length: f64,
    /// How long the request had waited when it was refused, in milliseconds.
    refused_ms: Option<u64>,
    first_ms: Option<u64>,
    endpoint_speed: f64,
}

struct Simulation {
    pool: Pool,
    running: Vec<Running>,
    /// When each endpoint will have read its prompts, in milliseconds.
    read_until: Vec<u64>,
    waiting: Vec<(Ticket, usize)>,
    results: Vec<RequestResult>,
    arrivals: Vec<u64>,
    sizes: Vec<(u32, f64)>,
}

fn speed(grant: &Grant) -> (usize, f64) {
    let index: usize = grant.endpoint.as_str().parse().unwrap();
    (index, SPEEDS[index])
}

impl Simulation {
    fn new() -> Self {
        let mut pool = Pool::new(PoolParams::default(), 4);
        for (index, speed) in SPEEDS.iter().enumerate() {
            let entry = RosterEntry {
                version: "v1".into(),
                endpoint: index.to_string().as_str().into(),
                start: 0,
                service: "assistant".into(),
                address: ([127, 0, 0, 1], 7_420).into(),
                zone: "a".into(),
                slots: 7,
                draining: false,
            };
            pool.upsert_endpoint(at(0), &entry);
            // The measurements of a few streams.
            for _ in 0..60 {
                pool.record_event(
                    at(0),
                    &grant_at(entry.endpoint.as_str()),
                    4.7 * speed * 4.0 / 1_000.0,
                );
            }
        }
        Self {
            pool,
            running: vec![],
            read_until: vec![0; SPEEDS.len()],
            waiting: vec![],
            results: vec![],
            arrivals: vec![],
            sizes: vec![],
        }
    }

    fn submit(&mut self, ms: u64, rank: u8, prompt: u32, length: f64) {
        let index = self.results.len();
        self.results.push(RequestResult { rank, length, ..RequestResult::default() });
        self.arrivals.push(ms);
        self.sizes.push((prompt, length));
        let request = PoolRequest {
            route: 0,
            parts: Vec::new(),
            rank,
            zone: "a".into(),
            prompt,
            expected_tokens: length,
            max_pause: Duration::from_millis(300),
            objective: at(ms + if rank == 0 { 800 } else { 500 }),
            leaves_at: at(ms + 2_400),
            returning: false,
            deadline: at(ms + 15_000),
            repeatable: false,
            tried: vec![],
            version: None,
        };
        match self.pool.submit(at(ms), request) {
            Admission::Granted(grant) => self.start(ms, index, grant),
            Admission::Queued(ticket) => self.waiting.push((ticket, index)),
            Admission::Refused(_) => self.results[index].refused_ms = Some(0),
        }
    }

    fn start(&mut self, ms: u64, index: usize, grant: Grant) {
        let (endpoint, speed) = speed(&grant);
        let (prompt, length) = self.sizes[index];
        let read = self.read_until[endpoint].max(ms) + (f64::from(prompt) * speed / 38.0) as u64;
        self.read_until[endpoint] = read;
        let first = read + (40.0 * speed) as u64;
        let end = first + (length * 4.7 * speed) as u64;
        self.results[index].endpoint_speed = speed;
        self.running.push(Running { grant, index, first, end });
    }

    fn step(&mut self, ms: u64) {
        let now = at(ms);
        for run in self.running.iter().filter(|run| run.first == ms) {
            self.pool.record_first_event(now, &run.grant, run.grant.prompt);
            self.results[run.index].first_ms = Some(ms - self.arrivals[run.index]);
        }
        let ended: Vec<Running> = self.running.extract_if(.., |run| run.end == ms).collect();
        for run in &ended {
            self.pool.end_request(now, &run.grant, 0, Outcome::Served);
        }
        self.record_events(now);
        for (ticket, settled) in self.pool.settle(now) {
            let place = self.waiting.iter().position(|(waiting, _)| *waiting == ticket).unwrap();
            let (_, index) = self.waiting.remove(place);
            match settled {
                QueueDecision::Granted(grant) => self.start(ms, index, grant),
                QueueDecision::Refused(_) => {
                    self.results[index].refused_ms = Some(ms - self.arrivals[index]);
                }
            }
        }
        let arrivals = &self.arrivals;
        let left = |(_, index): &mut (Ticket, usize)| arrivals[*index] + 1_800 <= ms;
        for (ticket, index) in self.waiting.extract_if(.., left).collect::<Vec<_>>() {
            self.pool.cancel(now, ticket);
            self.results[index].refused_ms = Some(1_800);
        }
    }

    /// Records an event of each running stream every 100 ms.
    fn record_events(&mut self, now: Timestamp) {
        if now.as_millis().is_multiple_of(100) {
            for run in &self.running {
                let (_, speed) = speed(&run.grant);
                self.pool.record_event(now, &run.grant, 4.7 * speed * 4.0 / 1_000.0);
            }
        }
    }

    /// Returns the part of the requests of `rank` whose first event arrived within `ms`.
    fn in_time(&self, rank: u8, ms: u64) -> f64 {
        let of_rank: Vec<_> = self.results.iter().filter(|result| result.rank == rank).collect();
        let in_time =
            of_rank.iter().filter(|result| result.first_ms.is_some_and(|first| first <= ms));
        in_time.count() as f64 / of_rank.len() as f64
    }
}

/// Returns a pseudorandom number from 0 to 1; the sequence is the same in each run.
fn random(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns a random length; its mean is about three times the median, and it is at most a hundred times the
/// median.
fn random_length(seed: &mut u64, median: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random(seed)).sum::<f64>() - 6.0;
    median * (1.5 * normal).exp().min(100.0)
}

/// Simulates arrivals of `rate` requests per second for ten seconds, of which one in five is urgent with a
/// long prompt and the others have a low rank and a long answer.
fn simulate(rate: f64) -> Simulation {
    let mut simulation = Simulation::new();
    let mut seed = 7;
    for ms in 0..20_000 {
        if ms < 10_000 && random(&mut seed) < rate / 1_000.0 {
            if random(&mut seed) < 0.2 {
                let prompt = random_length(&mut seed, 1_700.0).min(18_000.0) as u32;
                simulation.submit(ms, 0, prompt, 50.0);
            } else {
                let length = random_length(&mut seed, 90.0).min(2_800.0);
                simulation.submit(ms, 2, 500, length);
            }
        }
        simulation.step(ms);
    }
    simulation
}

#[test]
fn all_requests_are_served_in_time_below_capacity() {
    let simulation = simulate(15.0);
    assert!(simulation.in_time(0, 800) > 0.97, "{}", simulation.in_time(0, 800));
    assert!(simulation.in_time(2, 500) > 0.97, "{}", simulation.in_time(2, 500));
}

/// Twice the capacity of the slots, for ten seconds.
#[test]
fn urgent_requests_stay_in_time_at_twice_the_capacity() {
    let simulation = simulate(80.0);
    assert!(simulation.in_time(0, 800) > 0.9, "{}", simulation.in_time(0, 800));
}

/// In a queue in order of arrival, nearly all requests would be late here.
#[test]
fn requests_served_at_twice_the_capacity_are_served_in_time() {
    let simulation = simulate(80.0);
    let served = simulation
        .results
        .iter()
        .filter(|result| result.rank == 2 && result.first_ms.is_some())
        .count();
    let low_rank = simulation.results.iter().filter(|result| result.rank == 2).count();
    let in_time = simulation.in_time(2, 500) * low_rank as f64;
    assert!(in_time > 0.75 * served as f64, "{in_time} of {served} served, {low_rank} requested");
}

#[test]
fn overload_favours_short_answers_without_starving_long_ones() {
    let simulation = simulate(60.0);
    let low_rank: Vec<_> = simulation.results.iter().filter(|result| result.rank == 2).collect();
    let part = |is_long: bool| {
        let of_kind: Vec<_> =
            low_rank.iter().filter(|result| (result.length > 400.0) == is_long).collect();
        let served = of_kind.iter().filter(|result| result.first_ms.is_some()).count();
        served as f64 / of_kind.len() as f64
    };
    assert!(part(false) > part(true), "{} {}", part(false), part(true));
    assert!(part(true) > 0.5 * part(false), "{} {}", part(false), part(true));
}

/// A prompt of 10,000 tokens delays the streams of a slow endpoint by 450 ms.
#[test]
fn long_prompts_are_placed_at_fast_endpoints() {
    let mut simulation = Simulation::new();
    for ms in 0..5_000 {
        match ms % 400 {
            0 => simulation.submit(ms, 0, 10_000, 50.0),
            100 | 200 | 300 => simulation.submit(ms, 2, 400, 100.0),
            _ => {}
        }
        simulation.step(ms);
    }
    let speeds = |rank: u8| simulation.results.iter().filter(move |result| result.rank == rank);
    assert!(speeds(0).all(|result| result.endpoint_speed < 1.0));
    let slow = speeds(2).filter(|result| result.endpoint_speed > 1.0).count();
    assert!(slow * 2 > speeds(2).count(), "only {slow} short prompts went to slow endpoints");
}

/// Late requests move behind all that are in time, so most of them would wait in vain.
#[test]
fn refusals_at_twice_the_capacity_come_early() {
    let simulation = simulate(80.0);
    let mut waits: Vec<_> =
        simulation.results.iter().filter_map(|result| result.refused_ms).collect();
    waits.sort_unstable();
    assert!(waits.len() > 100, "{}", waits.len());
    let median = waits[waits.len() / 2];
    assert!(median < 700, "the median wait of {} refused requests is {median} ms", waits.len());
}
