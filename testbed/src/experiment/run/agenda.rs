//! What is still to happen, in order of time.

use std::{cmp, collections};

use trefoildyke_types::time::Timestamp;

/// Names something that is to happen. Requests and endpoints are named by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// A request reaches its entry host.
    Arrive(usize),
    /// The caller of a request stops waiting.
    Deadline(usize),
    /// An engine has something to do.
    Engine(usize),
    /// A load report of an endpoint is due.
    Report(usize),
    /// A load report outside the period is due.
    Probe(usize),
    /// A host's wake-up is due.
    Tick(u16),
    /// An engine becomes a straggler, by its position in the scenario's list.
    Straggle(usize),
    /// A straggler recovers, by its position in the scenario's list.
    Recover(usize),
    /// An endpoint is listed as leaving.
    Leave(usize),
    /// An endpoint is lost.
    Lose(usize),
    /// The loss of an endpoint is noticed.
    Notice(usize),
    /// The scheduler is lost.
    LoseScheduler,
    /// The next scheduler begins.
    ReplaceScheduler,
}

/// Holds events in order of time; those of one time in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(super) struct Agenda {
    heap: collections::BinaryHeap<cmp::Reverse<(Timestamp, u64, Event)>>,
    added: u64,
}

impl Agenda {
    pub(super) fn add(&mut self, at: Timestamp, event: Event) {
        self.added += 1;
        self.heap.push(cmp::Reverse((at, self.added, event)));
    }

    pub(super) fn next(&mut self) -> Option<(Timestamp, Event)> {
        self.heap.pop().map(|cmp::Reverse((at, _, event))| (at, event))
    }
}
