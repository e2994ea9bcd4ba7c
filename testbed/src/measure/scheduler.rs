//! What a scheduler costs by its endpoints and by what waits.

use std::time;

use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request, time::Timestamp};

use crate::measure::{self, table};

/// Requests that pass through while the scheduler is timed.
const ROUNDS: u64 = 20_000;
const SLOTS: u32 = 8;
/// Long enough that nothing is shed while it waits.
const LEFT_MS: u64 = 1_000_000_000;
const STEP: time::Duration = time::Duration::from_millis(1);

/// Measures shards with the given numbers of endpoints, each with the given numbers waiting.
pub fn cost(endpoints: &[usize], waiting: &[usize]) -> comfy_table::Table {
    let mut table = table::new(&[
        "endpoints",
        "waiting",
        "us a request",
        "decisions a request",
        "bytes a waiting request",
    ]);
    // Kept to the end, so that memory is never reused and its growth can be read off.
    let mut benches = Vec::new();
    for count in endpoints {
        for queue in waiting {
            let mut bench = Bench::new(*count);
            table.add_row(row(&mut bench, *count, *queue));
            benches.push(bench);
        }
    }
    table
}

/// Holds a shard and the requests that it has permitted.
struct Bench {
    shard: schedule::Shard,
    now: Timestamp,
    asked: u64,
    granted: Vec<id::RequestKey>,
    steps: u64,
}

fn row(bench: &mut Bench, endpoints: usize, waiting: usize) -> Vec<String> {
    let before = measure::resident_bytes();
    for _ in 0..waiting + endpoints * SLOTS as usize {
        bench.ask();
    }
    let memory = measure::resident_bytes().saturating_sub(before);
    bench.steps = 0;
    let start = time::Instant::now();
    for _ in 0..ROUNDS {
        bench.turn();
    }
    let busy = start.elapsed();
    vec![
        endpoints.to_string(),
        waiting.to_string(),
        format!("{:.2}", busy.as_secs_f64() * 1e6 / ROUNDS as f64),
        format!("{:.1}", bench.steps as f64 / ROUNDS as f64),
        (memory / waiting.max(1) as u64).to_string(),
    ]
}

impl Bench {
    fn new(endpoints: usize) -> Self {
        let scheduler = id::Incarnation::new(1, 1);
        let shard = schedule::Shard::new(schedule::Params::default(), scheduler);
        let granted = Vec::new();
        let mut bench = Self { shard, now: Timestamp::ZERO, asked: 0, granted, steps: 0 };
        for number in 0..endpoints {
            bench.step(schedule::Input::EndpointUp(schedule::EndpointInfo {
                endpoint: format!("engine-{number}").as_str().into(),
                slots: SLOTS,
                cache_tokens: 100_000,
            }));
        }
        bench
    }

    fn step(&mut self, input: schedule::Input) {
        self.steps += 1;
        for output in self.shard.step(self.now, input) {
            if let schedule::Output::Grant(permit) = output {
                self.granted.push(permit.key);
            }
        }
    }

    fn ask(&mut self) {
        self.asked += 1;
        let number = self.asked;
        let uuid = uuid::Builder::from_unix_timestamp_millis(number, &[0; 10]).into_uuid();
        let account = format!("account-{}", number % 100);
        let key =
            id::RequestKey { account: account.as_str().into(), id: id::RequestId::chosen(uuid) };
        self.step(schedule::Input::Ask(request::Ask {
            key,
            coordinator: id::Incarnation::new(2, 2),
            rank: (number % 3) as u8,
            prompt_tokens: 100 + (number * 37 % 900) as u32,
            max_tokens: 100,
            prefix: (0..8).map(|block| number % 50 * 1_000 + block).collect(),
            fingerprint: None,
            left_ms: LEFT_MS,
        }));
    }

    /// Carries the oldest permitted request to its end and asks for another.
    fn turn(&mut self) {
        self.now = self.now + STEP;
        if !self.granted.is_empty() {
            let key = self.granted.remove(0);
            self.step(report(schedule::Report::Started { key: key.clone() }));
            self.step(report(schedule::Report::FirstToken { key: key.clone() }));
            let outcome = schedule::Outcome::Whole;
            self.step(report(schedule::Report::Finished { key, tokens: 100, outcome }));
        }
        self.ask();
    }
}

const fn report(report: schedule::Report) -> schedule::Input {
    schedule::Input::Report(report)
}
