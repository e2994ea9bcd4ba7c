//! Property tests of `TierOrder` and `FinalAtOnce` under arbitrary inputs.

use std::collections;

use proptest::{collection, prelude::Strategy};
use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request, time};

use crate::schedule_support::{Driver, key_of};

/// An event that the scheduler must handle.
#[derive(Clone, Copy, Debug)]
enum Event {
    Ask {
        account: u8,
        rank: u8,
        prompt: u32,
        tokens: u32,
        left_ms: u64,
        prefix: u8,
    },
    /// The permitted request at this index, modulo their number, reaches this number of tokens.
    Progress(usize, u32),
    Finish(usize),
    HandBack(usize),
    Cancel(usize),
    Leaving(u8),
    Gone(u8),
    Up(u8),
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let ask = (0..3_u8, 0..3_u8, 1..20_000_u32, 1..400_u32, 0..6_000_u64, 0..4_u8);
    let ask = ask.prop_map(|(account, rank, prompt, tokens, left_ms, prefix)| Event::Ask {
        account,
        rank,
        prompt,
        tokens,
        left_ms,
        prefix,
    });
    proptest::prop_oneof![
        12 => ask,
        4 => (0..64_usize, 1..400_u32).prop_map(|(at, tokens)| Event::Progress(at, tokens)),
        6 => (0..64_usize).prop_map(Event::Finish),
        1 => (0..64_usize).prop_map(Event::HandBack),
        1 => (0..64_usize).prop_map(Event::Cancel),
        1 => (0..3_u8).prop_map(Event::Leaving),
        1 => (0..3_u8).prop_map(Event::Gone),
        2 => (0..3_u8).prop_map(Event::Up),
        6 => (1..2_000_u64).prop_map(Event::Advance),
    ]
}

/// A model of the requests that checks the scheduler's outputs.
struct Model {
    driver: Driver,
    number: u64,
    waiting: collections::BTreeMap<id::RequestKey, (u8, time::Timestamp)>,
    permitted: Vec<id::RequestKey>,
    /// The requests that were shed, by tier and deadline.
    shed: Vec<(u8, time::Timestamp)>,
}

impl Model {
    fn new() -> Self {
        Self {
            driver: Driver::new(2, 2),
            number: 0,
            waiting: collections::BTreeMap::new(),
            permitted: Vec::new(),
            shed: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        let at = |at: usize| self.permitted.get(at % self.permitted.len().max(1)).cloned();
        let outputs = match event {
            Event::Ask { account, rank, prompt, tokens, left_ms, prefix } => {
                self.number += 1;
                let key = key_of(&format!("a{account}"), self.number);
                let deadline = self.driver.now + std::time::Duration::from_millis(left_ms);
                self.waiting.insert(key.clone(), (rank, deadline));
                let blocks = 0..u64::from(prompt / 16).min(64);
                let ask = request::Ask {
                    key,
                    coordinator: id::Incarnation::from_u64(1),
                    rank,
                    prompt_tokens: prompt,
                    max_tokens: tokens,
                    prefix: blocks.map(|block| block * 8 + u64::from(prefix)).collect(),
                    fingerprint: None,
                    left_ms,
                };
                self.driver.ask(ask)
            }
            Event::Progress(position, tokens) => match at(position) {
                Some(key) => self.driver.progress(&key, tokens),
                None => return,
            },
            Event::Finish(position) => match at(position) {
                Some(key) => self.driver.finished(&key, 10),
                None => return,
            },
            Event::HandBack(position) => match at(position) {
                Some(key) => self.driver.report(schedule::Report::HandBack { key }),
                None => return,
            },
            Event::Cancel(position) => {
                let waits = self.waiting.keys().nth(position).cloned();
                let Some(key) = waits else { return };
                self.waiting.remove(&key);
                self.driver.report(schedule::Report::Cancel { key })
            }
            Event::Leaving(number) => {
                let name = format!("e{number}").as_str().into();
                self.driver.step(schedule::Input::EndpointLeaving(name))
            }
            Event::Gone(number) => {
                let name = format!("e{number}").as_str().into();
                self.driver.step(schedule::Input::EndpointGone(name))
            }
            Event::Up(number) => self.driver.up(&format!("e{number}"), 2),
            Event::Advance(millis) => return self.advance(millis),
        };
        self.check(&outputs);
    }

    /// Advances time and wakes the scheduler whenever it asked for it.
    fn advance(&mut self, millis: u64) {
        let end = self.driver.now + std::time::Duration::from_millis(millis);
        while let Some(outputs) = self.driver.wake_before(end) {
            self.check(&outputs);
        }
    }

    fn check(&mut self, outputs: &[schedule::Output]) {
        for output in outputs {
            match output {
                schedule::Output::Grant(permit) => self.check_grant(&permit.key),
                schedule::Output::Shed { key, refusal } => self.check_shed(key, refusal),
                schedule::Output::WakeAt(_) | schedule::Output::Probe(_) => {}
            }
        }
        self.check_final();
        assert_eq!(self.driver.shard.waiting_count(), self.waiting.len());
    }

    /// Checks that no request of a higher tier waits, or was shed and could still have been
    /// waiting.
    fn check_grant(&mut self, key: &id::RequestKey) {
        let (rank, _) = self.waiting.remove(key).expect("only a waiting request is granted");
        let higher = self.waiting.values().filter(|(other, _)| *other < rank);
        assert_eq!(higher.count(), 0, "granted past a higher tier");
        let now = self.driver.now;
        let shed = self.shed.iter().filter(|(other, deadline)| *other < rank && *deadline >= now);
        assert_eq!(shed.count(), 0, "granted after a higher tier was shed");
        self.permitted.push(key.clone());
    }

    /// Checks that no request of a lower tier waits when one is shed.
    fn check_shed(&mut self, key: &id::RequestKey, refusal: &request::Refusal) {
        let (rank, deadline) = self.waiting.remove(key).expect("only a waiting request is shed");
        assert_eq!(refusal.kind, request::RefusalKind::NotRun);
        assert!(refusal.retry_after_ms.is_some(), "a refusal names when to come back");
        if refusal.reason == "shed" {
            let lower = self.waiting.values().filter(|(other, _)| *other > rank);
            assert_eq!(lower.count(), 0, "shed while a lower tier waits");
            self.shed.push((rank, deadline));
        }
    }

    /// Checks that no request waits past its deadline.
    fn check_final(&self) {
        let now = self.driver.now;
        let late = self.waiting.values().filter(|(_, deadline)| *deadline <= now);
        assert_eq!(late.count(), 0, "a request waits past its deadline");
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 256, failure_persistence: None, ..Default::default() })]

    #[test]
    fn tier_order_and_final_at_once_hold(events in collection::vec(event(), 1..250)) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
        }
    }
}
