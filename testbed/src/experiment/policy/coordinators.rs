//! What the coordinators of a pool remember of their requests.

use std::{collections, time};

use trefoildyke_decide::schedule;
use trefoildyke_types::{request, time::Timestamp};

use crate::experiment::{arrivals, policy};

/// Remembers what the next scheduler has to be told when one is lost.
#[derive(Clone, Debug, Default)]
pub(super) struct Coordinators {
    /// Requests that wait for a permit, with their deadlines.
    waiting: collections::BTreeMap<usize, Pending>,
    /// Requests in progress.
    running: collections::BTreeMap<usize, Running>,
}

#[derive(Clone, Debug)]
struct Pending {
    ask: request::Ask,
    deadline: Timestamp,
}

#[derive(Clone, Debug)]
struct Running {
    pending: Pending,
    endpoint: usize,
    tokens: u32,
}

impl Coordinators {
    /// Remembers a request and returns the ask for it.
    pub(super) fn arrive(&mut self, arrival: &arrivals::Arrival) -> request::Ask {
        let ask = arrival.ask(arrival.patience);
        let pending = Pending { ask: ask.clone(), deadline: arrival.deadline() };
        self.waiting.insert(arrival.number(), pending);
        ask
    }

    /// Remembers where a request was sent and says whether it was still waiting.
    pub(super) fn place(&mut self, number: usize, endpoint: usize) -> bool {
        let Some(pending) = self.waiting.remove(&number) else { return false };
        self.running.insert(number, Running { pending, endpoint, tokens: 0 });
        true
    }

    pub(super) fn progress(&mut self, number: usize, tokens: u32) {
        if let Some(running) = self.running.get_mut(&number) {
            running.tokens = tokens;
        }
    }

    /// Forgets a request and says whether it was waiting.
    pub(super) fn forget(&mut self, number: usize) -> bool {
        self.running.remove(&number);
        self.waiting.remove(&number).is_some()
    }

    /// Forgets the requests that ran at a lost endpoint.
    pub(super) fn lose(&mut self, endpoint: usize) {
        self.running.retain(|_, running| running.endpoint != endpoint);
    }

    /// Returns what a new scheduler has to be told, work in progress first.
    pub(super) fn retell(&self, now: Timestamp, fleet: &policy::Fleet) -> Vec<schedule::Input> {
        let running = self.running.values().map(|running| {
            schedule::Input::TakeOver(schedule::TakenOver {
                ask: running.pending.ask_at(now),
                endpoint: fleet.endpoints[running.endpoint].name.clone(),
                tokens: running.tokens,
            })
        });
        let waiting =
            self.waiting.values().map(|pending| schedule::Input::Ask(pending.ask_at(now)));
        running.chain(waiting).collect()
    }
}

impl Pending {
    fn ask_at(&self, now: Timestamp) -> request::Ask {
        let left: time::Duration = self.deadline.since(now);
        request::Ask { left_ms: left.as_millis() as u64, ..self.ask.clone() }
    }
}
