//! The cost of one scheduling decision by the number of waiting requests.
//!
//! `cargo bench -p trefoildyke-decide --bench schedule` measures, with 32 busy endpoints, one ask
//! that must wait, one completion that grants another request, and that request's first token. The
//! printed time covers all three steps.

#![allow(missing_docs, reason = "the macros of criterion make undocumented items")]

use std::{hint, time};

use criterion::{BenchmarkId, Criterion};
use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request, time::Timestamp};

const ENDPOINTS: u32 = 32;
const SLOTS: u32 = 16;
const ACCOUNTS: u64 = 20;
const PREFIXES: u64 = 50;

/// A load generator that keeps a shard full: every completion is followed by an ask.
struct LoadGenerator {
    shard: schedule::Shard,
    now: Timestamp,
    next_number: u64,
    /// The permitted requests in the order of their permits.
    running: std::collections::VecDeque<id::RequestKey>,
}

impl LoadGenerator {
    fn new(waiting: usize) -> Self {
        let shard = schedule::Shard::new(schedule::Params::default(), id::Incarnation::from_u64(1));
        let running = std::collections::VecDeque::new();
        let mut load = Self { shard, now: Timestamp::ZERO, next_number: 0, running };
        for number in 0..ENDPOINTS {
            let endpoint = format!("engine-{number}").as_str().into();
            let info = schedule::EndpointInfo { endpoint, slots: SLOTS, cache_tokens: 64 * 1_024 };
            load.step(schedule::Input::EndpointUp(info));
        }
        let full = (ENDPOINTS * SLOTS) as usize;
        while load.running.len() < full || load.shard.waiting_count() < waiting {
            load.ask();
            load.now = load.now + time::Duration::from_micros(200);
            load.progress();
            assert!(load.next_number < 1_000_000, "the endpoints never got busy");
        }
        load
    }

    fn step(&mut self, input: schedule::Input) {
        for output in self.shard.step(self.now, input) {
            if let schedule::Output::Grant(permit) = output {
                let key = permit.key;
                self.running.push_back(key.clone());
                // The first token arrives with the dispatch, so that prompts delay nothing.
                self.step(schedule::Input::Report(schedule::Report::FirstToken { key }));
            }
        }
    }

    fn ask(&mut self) {
        self.next_number += 1;
        let number = self.next_number;
        let account = format!("account-{}", number % ACCOUNTS);
        let uuid = 0x0192_d3a4_0000_7000_8000_0000_0000_0000 | u128::from(number);
        let id = id::RequestId::chosen(uuid::Uuid::from_u128(uuid));
        let first = number * 7 % PREFIXES;
        let ask = request::Ask {
            key: id::RequestKey { account: account.as_str().into(), id },
            coordinator: id::Incarnation::from_u64(2),
            rank: (number % 3) as u8,
            prompt_tokens: 1_200,
            max_tokens: 200,
            prefix: (0..60).map(|block| block * 1_000 + first).collect(),
            fingerprint: None,
            left_ms: 1_000_000_000_000,
        };
        self.step(schedule::Input::Ask(ask));
    }

    /// Reports more tokens of the oldest request and makes it the newest.
    fn progress(&mut self) {
        let Some(key) = self.running.pop_front() else { return };
        self.running.push_back(key.clone());
        let tokens = self.next_number as u32;
        self.step(schedule::Input::Report(schedule::Report::Progress { key, tokens }));
    }

    fn finish(&mut self) {
        let Some(key) = self.running.pop_front() else { return };
        let outcome = schedule::Outcome::Whole;
        let report = schedule::Report::Finished { key, tokens: 150, outcome };
        self.step(schedule::Input::Report(report));
    }

    /// Runs one ask that waits, one completion that grants another request, and its first token.
    fn round(&mut self) {
        self.now = self.now + time::Duration::from_micros(500);
        self.ask();
        self.finish();
    }
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("ask_and_finish");
    for waiting in [10, 100, 1_000, 10_000, 40_000] {
        let mut load = LoadGenerator::new(waiting);
        group.bench_with_input(BenchmarkId::from_parameter(waiting), &waiting, |bencher, _| {
            bencher.iter(|| load.round());
        });
        let left = hint::black_box(load.shard.waiting_count());
        assert!(left >= waiting, "the number waiting must not fall: {left} of {waiting}");
        assert!(load.running.len() >= (ENDPOINTS * SLOTS) as usize - 64, "endpoints must be busy");
    }
    group.finish();
}

criterion::criterion_group! {
    name = benches;
    config = Criterion::default()
        .warm_up_time(time::Duration::from_millis(500))
        .measurement_time(time::Duration::from_secs(2))
        .sample_size(20);
    targets = decisions
}
criterion::criterion_main!(benches);
