//! Helpers for the scheduler's tests.

use trefoildyke_decide::schedule;
use trefoildyke_types::{id, request, time};

/// Returns the key of request `number` of `account`.
pub(crate) fn key_of(account: &str, number: u64) -> id::RequestKey {
    let text = format!("0192d3a4-0000-7000-8000-{number:012x}");
    id::RequestKey { account: account.into(), id: text.parse().unwrap() }
}

/// Returns the key of request `number` of the account `office`.
pub(crate) fn key(number: u64) -> id::RequestKey {
    key_of("office", number)
}

/// Returns a short request with 10 seconds left.
pub(crate) fn ask(number: u64, rank: u8) -> request::Ask {
    request::Ask {
        key: key(number),
        coordinator: id::Incarnation::from_u64(1),
        rank,
        prompt_tokens: 100,
        max_tokens: 10,
        prefix: Vec::new(),
        fingerprint: None,
        left_ms: 10_000,
    }
}

/// An upper bound on the wake-ups that any test needs.
const MAX_TICKS: u32 = 20_000;

/// Drives a scheduler in virtual time and keeps its requested wake-up.
pub(crate) struct Driver {
    pub(crate) shard: schedule::Shard,
    pub(crate) now: time::Timestamp,
    wake: Option<time::Timestamp>,
    ticks: u32,
}

impl Driver {
    /// Creates a scheduler with `endpoints` endpoints `e0`, `e1`, ... of `slots` slots.
    pub(crate) fn new(endpoints: u32, slots: u32) -> Self {
        Self::with(schedule::Params::default(), endpoints, slots)
    }

    /// Creates a scheduler like [`Driver::new`], with the given settings.
    pub(crate) fn with(params: schedule::Params, endpoints: u32, slots: u32) -> Self {
        let shard = schedule::Shard::new(params, id::Incarnation::from_u64(9));
        let mut driver = Self { shard, now: time::Timestamp::ZERO, wake: None, ticks: 0 };
        for number in 0..endpoints {
            driver.up(&format!("e{number}"), slots);
        }
        driver
    }

    /// Advances time without waking the scheduler.
    pub(crate) fn advance(&mut self, millis: u64) -> &mut Self {
        self.now = self.now + std::time::Duration::from_millis(millis);
        self
    }

    pub(crate) fn step(&mut self, input: schedule::Input) -> Vec<schedule::Output> {
        let outputs = self.shard.step(self.now, input);
        for output in &outputs {
            if let schedule::Output::WakeAt(wake) = output {
                self.wake = Some(*wake);
            }
        }
        outputs
    }

    /// Advances to the next wake-up up to `end` and carries it out, or else to `end`.
    pub(crate) fn wake_before(&mut self, end: time::Timestamp) -> Option<Vec<schedule::Output>> {
        let wake = self.wake.take_if(|wake| *wake <= end);
        self.now = wake.unwrap_or(end).max(self.now);
        wake?;
        self.ticks += 1;
        assert!(self.ticks < MAX_TICKS, "the scheduler keeps asking to be woken at once");
        Some(self.tick())
    }

    /// Advances time and wakes the scheduler whenever it asked for it.
    pub(crate) fn run(&mut self, millis: u64) -> Vec<schedule::Output> {
        let end = self.now + std::time::Duration::from_millis(millis);
        let mut outputs = Vec::new();
        while let Some(more) = self.wake_before(end) {
            outputs.extend(more);
        }
        outputs
    }

    pub(crate) fn up(&mut self, name: &str, slots: u32) -> Vec<schedule::Output> {
        let info = schedule::EndpointInfo { endpoint: name.into(), slots, cache_tokens: 64 * 1024 };
        self.step(schedule::Input::EndpointUp(info))
    }

    pub(crate) fn ask(&mut self, ask: request::Ask) -> Vec<schedule::Output> {
        self.step(schedule::Input::Ask(ask))
    }

    pub(crate) fn report(&mut self, report: schedule::Report) -> Vec<schedule::Output> {
        self.step(schedule::Input::Report(report))
    }

    pub(crate) fn tick(&mut self) -> Vec<schedule::Output> {
        self.step(schedule::Input::Tick)
    }

    pub(crate) fn started(&mut self, key: &id::RequestKey) -> Vec<schedule::Output> {
        self.report(schedule::Report::Started { key: key.clone() })
    }

    pub(crate) fn first_token(&mut self, key: &id::RequestKey) -> Vec<schedule::Output> {
        self.report(schedule::Report::FirstToken { key: key.clone() })
    }

    pub(crate) fn progress(&mut self, key: &id::RequestKey, tokens: u32) -> Vec<schedule::Output> {
        self.report(schedule::Report::Progress { key: key.clone(), tokens })
    }

    pub(crate) fn finished(&mut self, key: &id::RequestKey, tokens: u32) -> Vec<schedule::Output> {
        let outcome = schedule::Outcome::Whole;
        self.report(schedule::Report::Finished { key: key.clone(), tokens, outcome })
    }
}

/// Returns the permits among the outputs.
pub(crate) fn permits(outputs: &[schedule::Output]) -> Vec<request::Permit> {
    let permits = outputs.iter().filter_map(|output| match output {
        schedule::Output::Grant(permit) => Some(permit.clone()),
        _ => None,
    });
    permits.collect()
}

/// Returns the requests that the outputs grant.
pub(crate) fn granted(outputs: &[schedule::Output]) -> Vec<id::RequestKey> {
    permits(outputs).into_iter().map(|permit| permit.key).collect()
}

/// Returns the requests that the outputs refuse.
pub(crate) fn shed(outputs: &[schedule::Output]) -> Vec<id::RequestKey> {
    let shed = outputs.iter().filter_map(|output| match output {
        schedule::Output::Shed { key, .. } => Some(key.clone()),
        _ => None,
    });
    shed.collect()
}
