//! One run.

use std::{cmp, collections};

use rand::{Rng as _, SeedableRng as _};
use trefoildyke_decide::gateway::{
    Admission, Finding, Gate, Grant, Outcome, Pool, PoolParams, PoolRequest, QueueDecision,
    Rollout, Rollouts, RosterEntry, Stage,
};
use trefoildyke_types::{id, time::Timestamp};

use crate::rollout::{Beside, Cell, Fault, Kind, Onset};

/// The part of the requests that a bad version may get, and how many more.
const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// Within how many milliseconds the move is ordered to be complete.
const WITHIN_MS: u64 = 12_000;

/// How often decisions are looked at, in milliseconds.
const TICK_MS: u64 = 50;

/// Endpoints of each version, and their slots.
const ENDPOINTS: usize = 30;
const SLOTS: u32 = 6;

/// How many times as long as the fastest the endpoints take.
const SPEEDS: [f64; 3] = [0.6, 1.7, 1.7];

/// Milliseconds from one request to the next on a calm day: a little more than half of the slots are taken.
const GAP_MS: f64 = 4.5;

/// The routes: how often each is asked, how long its answers take in milliseconds, and the part of them that fails anyhow.
const ROUTES: [(f64, f64, f64); 4] =
    [(0.4, 250.0, 0.0), (0.4, 350.0, 0.004), (0.17, 900.0, 0.0), (0.03, 250.0, 0.14)];

/// The route on which a version is bad that is so on one.
const BAD_ROUTE: usize = 1;

/// When trouble beside the move begins and ends, in milliseconds.
const TROUBLE_MS: std::ops::Range<u64> = 2_000..5_000;

/// What came of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Course {
    /// The last stage.
    pub stage: Stage,
    /// When it was reached, in milliseconds after the order.
    pub ended_ms: u64,
    /// How many requests reached the service up to the end of the time for the move.
    pub requests: u64,
    /// How many of them the new version got.
    pub tried: u64,
    /// By how many milliseconds the last request to the new version came after its fiftieth bad answer.
    pub stop_ms: Option<u64>,
}

impl Course {
    /// Says whether the new version got no more than a bad one may get.
    pub fn is_exposure_kept(&self) -> bool {
        self.tried as f64 <= self.requests as f64 * SHARE + SLACK
    }

    /// Says whether the move was complete in time.
    pub fn is_complete(&self) -> bool {
        self.stage == Stage::Complete && self.ended_ms <= WITHIN_MS
    }
}

/// An answer that is to come.
#[derive(Clone, Debug, PartialEq)]
struct Coming {
    at_ms: u64,
    number: u64,
    is_end: bool,
    is_bad: bool,
    outcome: Outcome,
    grant: Grant,
}

impl Eq for Coming {}

impl Ord for Coming {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at_ms, other.number, other.is_end).cmp(&(self.at_ms, self.number, self.is_end))
    }
}

impl PartialOrd for Coming {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

struct Run {
    random: rand::rngs::StdRng,
    cell: Cell,
    pool: Pool,
    rollouts: Rollouts,
    coming: collections::BinaryHeap<Coming>,
    ill: collections::BTreeSet<id::EndpointName>,
    running: collections::HashMap<id::EndpointName, u32>,
    numbers: u64,
    bad: u32,
    fiftieth: Option<u64>,
    last_tried: u64,
    course: Course,
}

fn service() -> id::PoolName {
    "assistant".into()
}

fn name(version: &str, number: usize) -> id::EndpointName {
    format!("{version}-{number:02}").as_str().into()
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Plays a move.
pub fn play(cell: Cell, seed: u64) -> Course {
    let mut run = Run::new(cell, seed);
    let mut next = 0.0;
    let end_ms = WITHIN_MS * 2;
    for ms in (0..end_ms).step_by(TICK_MS as usize) {
        run.decide(ms);
        while next < (ms + TICK_MS) as f64 {
            run.answers(next as u64);
            run.request(next as u64);
            let is_burst = cell.beside == Beside::Burst && TROUBLE_MS.contains(&ms);
            let mean = if is_burst { GAP_MS / 2.0 } else { GAP_MS };
            next += -run.random.random_range(f64::EPSILON..1.0).ln() * mean;
        }
        run.answers(ms + TICK_MS);
        if run.course.stage.is_final() && ms > WITHIN_MS {
            break;
        }
    }
    let late = run.fiftieth.and_then(|fiftieth| run.last_tried.checked_sub(fiftieth));
    run.course.stop_ms = cell.fault.and(late);
    run.course
}

impl Run {
    fn new(cell: Cell, seed: u64) -> Self {
        let mut random = rand::rngs::StdRng::seed_from_u64(seed);
        let mut pool = Pool::new(PoolParams::default(), 4);
        let mut rollouts = Rollouts::default();
        let mut ill = collections::BTreeSet::new();
        let mut entries = Vec::new();
        for version in ["v1", "v2"] {
            for number in 0..ENDPOINTS {
                let endpoint = name(version, number);
                if cell.beside == Beside::Ill && random.random_bool(0.15) {
                    ill.insert(endpoint.clone());
                }
                entries.push(RosterEntry {
                    endpoint,
                    start: u64::from(version == "v2"),
                    service: service(),
                    version: version.into(),
                    address: ([127, 0, 0, 1], 7_420).into(),
                    zone: "a".into(),
                    slots: SLOTS,
                    draining: false,
                });
            }
        }
        rollouts.note_listed(&entries.iter().collect::<Vec<_>>());
        entries.iter().for_each(|entry| pool.upsert_endpoint(at(0), entry));
        let order = Rollout {
            service: service(),
            order: 1,
            from: None,
            to: "v2".into(),
            within_ms: WITHIN_MS,
            age_ms: 0,
            stage: Stage::Ordered,
        };
        rollouts.learn(at(0), &[order]);
        let course =
            Course { stage: Stage::Ordered, ended_ms: 0, requests: 0, tried: 0, stop_ms: None };
        Self {
            random,
            cell,
            pool,
            rollouts,
            coming: collections::BinaryHeap::new(),
            ill,
            running: collections::HashMap::new(),
            numbers: 0,
            bad: 0,
            fiftieth: None,
            last_tried: 0,
            course,
        }
    }

    /// Takes the decisions of the daemon that places.
    fn decide(&mut self, ms: u64) {
        let now = at(ms);
        self.pool.expire_peers(now);
        let finding: Finding = self.pool.rollout_status(now, &"v2".into());
        if let Some(next) = self.rollouts.next(now, &service(), finding) {
            self.course.stage = next.stage;
            self.course.ended_ms = ms;
            self.rollouts.learn(now, &[next]);
        }
        let gate: Gate = self.rollouts.gate(&service(), SHARE, true);
        self.pool.set_gate(now, gate);
    }

    fn request(&mut self, ms: u64) {
        let draw: f64 = self.random.random();
        let mut sum = 0.0;
        let route = ROUTES.iter().position(|(part, ..)| {
            sum += part;
            draw < sum
        });
        let route = route.unwrap_or(ROUTES.len() - 1);
        let request = PoolRequest {
            rank: 0,
            route: route as u32,
            zone: "a".into(),
            prompt: 1_000,
            parts: Vec::new(),
            expected_tokens: 50.0,
            max_pause: std::time::Duration::from_millis(400),
            objective: at(ms + 800),
            leaves_at: at(ms + 2_000),
            deadline: at(ms + 6_000),
            returning: false,
            repeatable: false,
            tried: Vec::new(),
            version: None,
        };
        if let Admission::Granted(grant) = self.pool.submit(at(ms), request) {
            self.send(ms, &grant);
        }
    }

    fn send(&mut self, ms: u64, grant: &Grant) {
        let is_new = grant.endpoint.as_str().starts_with("v2");
        if ms <= WITHIN_MS {
            self.course.requests += 1;
            self.course.tried += u64::from(is_new);
        }
        if is_new {
            self.last_tried = ms;
        }
        self.numbers += 1;
        let running = self.running.entry(grant.endpoint.clone()).or_default();
        *running += 1;
        let crowd = f64::from(*running) / f64::from(SLOTS);
        let (is_bad, slower) = self.fault(ms, grant, crowd);
        let (_, whole_ms, fails) = ROUTES[grant.route as usize % ROUTES.len()];
        let number: usize =
            grant.endpoint.as_str().rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
        let speed = SPEEDS[number % SPEEDS.len()] * (0.8 + 0.5 * crowd) * slower;
        let spread = self.random.random_range(0.7..1.4);
        let first = 70.0 * speed * spread;
        let is_ill = self.ill.contains(&grant.endpoint) && TROUBLE_MS.contains(&ms);
        let chance = if is_ill { 0.4 } else { fails };
        let is_failed = self.random.random_bool(chance) || (is_bad && slower <= 1.0);
        let outcome = if is_failed { Outcome::Failed } else { Outcome::Served };
        let end = if is_failed { first } else { first + whole_ms * speed };
        let coming = |at: f64, is_end| Coming {
            at_ms: ms + at as u64,
            number: self.numbers,
            is_end,
            is_bad,
            outcome,
            grant: grant.clone(),
        };
        let (begun, ended) = (coming(first, false), coming(end, true));
        self.coming.push(begun);
        self.coming.push(ended);
    }

    /// Says whether an answer is bad by the fault of its version, and how many times as long it takes.
    fn fault(&mut self, ms: u64, grant: &Grant, crowd: f64) -> (bool, f64) {
        let Some(Fault { part, kind, onset }) = self.cell.fault else { return (false, 1.0) };
        let may_be = grant.endpoint.as_str().starts_with("v2")
            && match onset {
                Onset::Start => true,
                Onset::Later => ms >= 3_000,
                Onset::Loaded => crowd > 0.5,
                Onset::Route => grant.route as usize == BAD_ROUTE,
            };
        if !may_be || !self.random.random_bool(part) {
            return (false, 1.0);
        }
        match kind {
            Kind::Fails => (true, 1.0),
            Kind::Slow(times) => (true, times),
        }
    }

    /// Hands the answers that have come to the pool.
    fn answers(&mut self, until_ms: u64) {
        while self.coming.peek().is_some_and(|coming| coming.at_ms <= until_ms) {
            let Some(coming) = self.coming.pop() else { return };
            let now = at(coming.at_ms);
            if !coming.is_end {
                self.pool.record_first_event(now, &coming.grant, coming.grant.prompt);
                continue;
            }
            if let Some(running) = self.running.get_mut(&coming.grant.endpoint) {
                *running = running.saturating_sub(1);
            }
            if coming.is_bad {
                self.bad += 1;
                if self.bad == 50 {
                    self.fiftieth = Some(coming.at_ms);
                }
            }
            self.pool.end_request(now, &coming.grant, 0, coming.outcome);
            for (_, settled) in self.pool.settle(now) {
                if let QueueDecision::Granted(grant) = settled {
                    self.send(coming.at_ms, &grant);
                }
            }
        }
    }
}
