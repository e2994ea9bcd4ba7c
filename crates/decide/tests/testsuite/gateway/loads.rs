//! Load patterns that the decisions answer, replayed in virtual time.
//!
//! Each plays arrivals against a small model of engines: some fast, some slow, each with a number
//! of slots, prompts read one after the other, and a step for all streams.

use std::time::Duration;

use trefoildyke_decide::gateway::{
    Demand, Grant, Outcome, Pool, PoolParams, RosterEntry, Settled, Ticket, Verdict,
};
use trefoildyke_types::time::Timestamp;

use super::support::{at, told_of};

/// How much slower than the usual step of 4.7 ms an endpoint is.
const SPEEDS: [f64; 6] = [0.6, 1.7, 1.7, 0.6, 1.7, 1.7];

struct Running {
    grant: Grant,
    number: usize,
    first: u64,
    end: u64,
}

/// Says what became of one request.
#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    rank: u8,
    length: f64,
    /// After how long it was refused.
    refused: Option<u64>,
    first: Option<u64>,
    endpoint_speed: f64,
}

struct World {
    pool: Pool,
    running: Vec<Running>,
    /// When each endpoint has read its prompts.
    read: Vec<u64>,
    waiting: Vec<(Ticket, usize)>,
    fates: Vec<Fate>,
    arrivals: Vec<u64>,
    lengths: Vec<(u32, f64)>,
}

fn speed(grant: &Grant) -> (usize, f64) {
    let index: usize = grant.endpoint.as_str().parse().unwrap();
    (index, SPEEDS[index])
}

impl World {
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
            pool.list(at(0), &entry);
            // What a few streams would have taught.
            for _ in 0..60 {
                pool.event(at(0), &told_of(entry.endpoint.as_str()), 4.7 * speed * 4.0 / 1_000.0);
            }
        }
        Self {
            pool,
            running: vec![],
            read: vec![0; SPEEDS.len()],
            waiting: vec![],
            fates: vec![],
            arrivals: vec![],
            lengths: vec![],
        }
    }

    fn arrive(&mut self, ms: u64, rank: u8, prompt: u32, length: f64) {
        let number = self.fates.len();
        self.fates.push(Fate { rank, length, ..Fate::default() });
        self.arrivals.push(ms);
        self.lengths.push((prompt, length));
        let demand = Demand {
            route: 0,
            parts: Vec::new(),
            rank,
            zone: "a".into(),
            prompt,
            expected: length,
            gap: Duration::from_millis(300),
            objective: at(ms + if rank == 0 { 800 } else { 500 }),
            leaves: at(ms + 2_400),
            returning: false,
            deadline: at(ms + 15_000),
            repeatable: false,
            tried: vec![],
        };
        match self.pool.arrive(at(ms), demand) {
            Verdict::Granted(grant) => self.start(ms, number, grant),
            Verdict::Queued(ticket) => self.waiting.push((ticket, number)),
            Verdict::Refused(_) => self.fates[number].refused = Some(0),
        }
    }

    fn start(&mut self, ms: u64, number: usize, grant: Grant) {
        let (index, speed) = speed(&grant);
        let (prompt, length) = self.lengths[number];
        let read = self.read[index].max(ms) + (f64::from(prompt) * speed / 38.0) as u64;
        self.read[index] = read;
        let first = read + (40.0 * speed) as u64;
        let end = first + (length * 4.7 * speed) as u64;
        self.fates[number].endpoint_speed = speed;
        self.running.push(Running { grant, number, first, end });
    }

    fn step(&mut self, ms: u64) {
        let now = at(ms);
        for run in self.running.iter().filter(|run| run.first == ms) {
            self.pool.first(now, &run.grant, run.grant.prompt);
            self.fates[run.number].first = Some(ms - self.arrivals[run.number]);
        }
        let ended: Vec<Running> = self.running.extract_if(.., |run| run.end == ms).collect();
        for run in &ended {
            self.pool.end(now, &run.grant, 0, Outcome::Served);
        }
        self.heard(now);
        for (ticket, settled) in self.pool.settle(now) {
            let place = self.waiting.iter().position(|(waiting, _)| *waiting == ticket).unwrap();
            let (_, number) = self.waiting.remove(place);
            match settled {
                Settled::Granted(grant) => self.start(ms, number, grant),
                Settled::Refused(_) => {
                    self.fates[number].refused = Some(ms - self.arrivals[number]);
                }
            }
        }
        let arrivals = &self.arrivals;
        let left = |(_, number): &mut (Ticket, usize)| arrivals[*number] + 1_800 <= ms;
        for (ticket, number) in self.waiting.extract_if(.., left).collect::<Vec<_>>() {
            self.pool.give_up(now, ticket);
            self.fates[number].refused = Some(1_800);
        }
    }

    /// Streams speak while they run.
    fn heard(&mut self, now: Timestamp) {
        if now.as_millis().is_multiple_of(100) {
            for run in &self.running {
                let (_, speed) = speed(&run.grant);
                self.pool.event(now, &run.grant, 4.7 * speed * 4.0 / 1_000.0);
            }
        }
    }

    /// Returns the part of the requests of `rank` whose first event came within `ms`.
    fn in_time(&self, rank: u8, ms: u64) -> f64 {
        let of_rank: Vec<_> = self.fates.iter().filter(|fate| fate.rank == rank).collect();
        let in_time = of_rank.iter().filter(|fate| fate.first.is_some_and(|first| first <= ms));
        in_time.count() as f64 / of_rank.len() as f64
    }
}

/// A number from 0 to 1 that is the same in each run.
fn draw(seed: &mut u64) -> f64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    (*seed >> 11) as f64 / (1_u64 << 53) as f64
}

/// A length whose mean is about three times its median, up to a hundred times.
fn long_tailed(seed: &mut u64, median: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| draw(seed)).sum::<f64>() - 6.0;
    median * (1.5 * normal).exp().min(100.0)
}

/// Plays ten seconds with `rate` requests a second: one in five urgent with a long prompt, the
/// others lesser with a long answer.
fn play(rate: f64) -> World {
    let mut world = World::new();
    let mut seed = 7;
    for ms in 0..20_000 {
        if ms < 10_000 && draw(&mut seed) < rate / 1_000.0 {
            if draw(&mut seed) < 0.2 {
                let prompt = long_tailed(&mut seed, 1_700.0).min(18_000.0) as u32;
                world.arrive(ms, 0, prompt, 50.0);
            } else {
                let length = long_tailed(&mut seed, 90.0).min(2_800.0);
                world.arrive(ms, 2, 500, length);
            }
        }
        world.step(ms);
    }
    world
}

#[test]
fn all_are_served_in_time_below_capacity() {
    let world = play(15.0);
    assert!(world.in_time(0, 800) > 0.97, "{}", world.in_time(0, 800));
    assert!(world.in_time(2, 500) > 0.97, "{}", world.in_time(2, 500));
}

/// Twice what the slots can do, for ten seconds.
#[test]
fn urgent_requests_stay_in_time_at_twice_the_capacity() {
    let world = play(80.0);
    assert!(world.in_time(0, 800) > 0.9, "{}", world.in_time(0, 800));
}

/// In a queue in order of arrival, nearly everyone would be late here.
#[test]
fn those_who_are_served_at_twice_the_capacity_are_served_in_time() {
    let world = play(80.0);
    let served = world.fates.iter().filter(|fate| fate.rank == 2 && fate.first.is_some()).count();
    let lesser = world.fates.iter().filter(|fate| fate.rank == 2).count();
    let in_time = world.in_time(2, 500) * lesser as f64;
    assert!(in_time > 0.75 * served as f64, "{in_time} of {served} served, {lesser} asked");
}

#[test]
fn short_answers_go_before_long_ones_under_overload_and_long_ones_are_not_shut_out() {
    let world = play(60.0);
    let lesser: Vec<_> = world.fates.iter().filter(|fate| fate.rank == 2).collect();
    let part = |is_long: bool| {
        let of_kind: Vec<_> =
            lesser.iter().filter(|fate| (fate.length > 400.0) == is_long).collect();
        let served = of_kind.iter().filter(|fate| fate.first.is_some()).count();
        served as f64 / of_kind.len() as f64
    };
    assert!(part(false) > part(true), "{} {}", part(false), part(true));
    assert!(part(true) > 0.5 * part(false), "{} {}", part(false), part(true));
}

/// A prompt of 10,000 tokens stalls the streams of a slow endpoint for 450 ms.
#[test]
fn long_prompts_are_read_at_fast_endpoints() {
    let mut world = World::new();
    for ms in 0..5_000 {
        match ms % 400 {
            0 => world.arrive(ms, 0, 10_000, 50.0),
            100 | 200 | 300 => world.arrive(ms, 2, 400, 100.0),
            _ => {}
        }
        world.step(ms);
    }
    let speeds = |rank: u8| world.fates.iter().filter(move |fate| fate.rank == rank);
    assert!(speeds(0).all(|fate| fate.endpoint_speed < 1.0));
    let slow = speeds(2).filter(|fate| fate.endpoint_speed > 1.0).count();
    assert!(slow * 2 > speeds(2).count(), "{slow} short prompts left the fast endpoints alone");
}

/// What has become late steps back behind all that come in time, so most of it would wait in vain.
#[test]
fn who_will_not_be_served_at_twice_the_capacity_is_told_soon() {
    let world = play(80.0);
    let mut waits: Vec<_> = world.fates.iter().filter_map(|fate| fate.refused).collect();
    waits.sort_unstable();
    assert!(waits.len() > 100, "{}", waits.len());
    let median = waits[waits.len() / 2];
    assert!(median < 700, "half of {} refused waited for {median} ms", waits.len());
}
