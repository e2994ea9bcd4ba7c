//! The cost of a decision.

use std::time;

use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request, time::Timestamp};

use crate::experiment::goals;

/// The most that a decision may cost, in microseconds.
const LIMIT_US: f64 = 5.0;
/// How much dearer a decision may be with a hundred times as many waiting: the ratio of the
/// logarithms, 5 to 3, with room for the effect of the processor's caches.
const GROWTH: f64 = 2.5;
const ENDPOINTS: u64 = 32;
const SLOTS: u32 = 16;
/// How many decisions are timed.
const ROUNDS: u64 = 1_000;

/// Times the scheduler's decisions and says that the daemon's overhead is measured elsewhere.
pub(super) fn measure(sizes: [u64; 3]) -> Vec<goals::Goal> {
    let [small, middle, large] = sizes.map(|waiting| Bench::new(waiting).run());
    let growth = large / small;
    let decision = goals::Goal {
        wanted: "a decision costs under 5 us, and grows at most with the logarithm".to_owned(),
        scenario: format!("{ENDPOINTS} endpoints, {sizes:?} waiting"),
        measured: format!("{small:.1}, {middle:.1}, {large:.1} us: {growth:.1} times"),
        verdict: goals::Verdict::of(middle < LIMIT_US && growth <= GROWTH),
    };
    let overhead = goals::Goal {
        wanted: "overhead of a daemon, p50 and p99, with the intent write".to_owned(),
        scenario: "loopback".to_owned(),
        measured: "see `testbed load`".to_owned(),
        verdict: goals::Verdict::NotRun,
    };
    vec![decision, overhead]
}

/// A shard with all slots taken and many requests waiting.
struct Bench {
    shard: schedule::Shard,
    running: Vec<id::RequestKey>,
    next: u64,
    now: Timestamp,
}

impl Bench {
    fn new(waiting: u64) -> Self {
        let incarnation = id::Incarnation::from_u64(1);
        let shard = schedule::Shard::new(schedule::Params::default(), incarnation);
        let mut bench = Self { shard, running: Vec::new(), next: 0, now: Timestamp::ZERO };
        for number in 0..ENDPOINTS {
            let info = schedule::EndpointInfo {
                endpoint: id::EndpointName::new(&format!("endpoint-{number}")),
                slots: SLOTS,
                cache_tokens: 0,
            };
            bench.feed(schedule::Input::EndpointUp(info));
        }
        while bench.shard.waiting_count() < waiting as usize && bench.next < 2 * waiting + 1_000 {
            bench.ask();
        }
        bench
    }

    /// Returns the mean cost of the step that frees a slot and gives it to a waiting request, in
    /// microseconds.
    fn run(mut self) -> f64 {
        let mut spent = time::Duration::ZERO;
        for _ in 0..ROUNDS {
            let Some(key) = self.running.pop() else { break };
            self.now = self.now + time::Duration::from_micros(100);
            let outcome = schedule::Outcome::Whole;
            let report = schedule::Report::Finished { key, tokens: 100, outcome };
            let start = time::Instant::now();
            let outputs = self.shard.step(self.now, schedule::Input::Report(report));
            spent += start.elapsed();
            self.take_in(outputs);
            self.ask();
        }
        spent.as_secs_f64() * 1e6 / ROUNDS as f64
    }

    fn ask(&mut self) {
        self.next += 1;
        let uuid = uuid::Uuid::from_u128((7 << 76) | (2 << 62) | u128::from(self.next));
        let account = id::AccountName::new(&format!("account-{}", self.next % 5));
        let key = id::RequestKey { account, id: id::RequestId::chosen(uuid) };
        self.feed(schedule::Input::Ask(request::Ask {
            key,
            coordinator: id::Incarnation::from_u64(2),
            rank: (self.next % 3) as u8,
            prompt_tokens: 100 + (self.next * 37 % 4_000) as u32,
            max_tokens: 100,
            prefix: Vec::new(),
            fingerprint: None,
            left_ms: 3_600_000,
        }));
    }

    fn feed(&mut self, input: schedule::Input) {
        let outputs = self.shard.step(self.now, input);
        self.take_in(outputs);
    }

    fn take_in(&mut self, outputs: Vec<schedule::Output>) {
        for output in outputs {
            if let schedule::Output::Grant(permit) = output {
                let key = permit.key;
                self.running.push(key.clone());
                self.feed(schedule::Input::Report(schedule::Report::Started { key }));
            }
        }
    }
}
