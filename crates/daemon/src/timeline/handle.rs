//! Writing and reading of the timeline.

use std::{collections, sync};

use trefoildyke_types::{event, id};
use trefoildyke_wire::{operators::message, peer};

use crate::clock;

/// A ring buffer of events.
#[derive(Debug)]
struct Ring {
    /// The last events, at most `limit`, in order of their sequence numbers.
    events: collections::VecDeque<event::Event>,
    limit: usize,
    /// The sequence number of the last event; the first event has 1.
    seq: u64,
}

/// A handle to write and read the timeline; published as `timeline`. Clones share the events.
///
/// The logical clock of an event is a Lamport clock whose value at an event is at least the wall clock in
/// microseconds. Events that depend on one another through messages are therefore in causal order, however
/// far the hosts' wall clocks differ, and other events are in approximate order of time.
#[derive(Clone, Debug)]
pub struct Handle {
    host: id::HostName,
    incarnation: id::Incarnation,
    /// The logical clock, shared with the connections to peers.
    clock: peer::Clock,
    ring: sync::Arc<sync::Mutex<Ring>>,
}

impl Handle {
    /// Creates the timeline of one daemon, which keeps the last `limit` events.
    pub fn new(
        host: id::HostName,
        incarnation: id::Incarnation,
        limit: usize,
        clock: peer::Clock,
    ) -> Self {
        let events = collections::VecDeque::new();
        let ring = Ring { events, limit, seq: 0 };
        Self { host, incarnation, clock, ring: sync::Arc::new(sync::Mutex::new(ring)) }
    }

    /// Appends an event; drops the oldest one if the timeline is full.
    pub fn record(&self, key: Option<&id::RequestKey>, kind: &str, detail: impl Into<String>) {
        let time_us = clock::unix_us();
        let mut ring = self.lock();
        ring.seq += 1;
        let event = event::Event {
            time_us,
            host: self.host.clone(),
            incarnation: self.incarnation,
            seq: ring.seq,
            clock: self.clock.tick(time_us),
            key: key.cloned(),
            kind: kind.to_owned(),
            detail: detail.into(),
        };
        if ring.events.len() >= ring.limit {
            ring.events.pop_front();
        }
        ring.events.push_back(event);
    }

    /// Returns the first `limit` events after the sequence number `after`, of those that are still kept.
    pub fn read(&self, after: u64, limit: usize) -> message::EventPage {
        let ring = self.lock();
        let dropped = ring.seq - ring.events.len() as u64;
        let skip = usize::try_from(after.saturating_sub(dropped)).unwrap_or(usize::MAX);
        let events: Vec<_> = ring.events.iter().skip(skip).take(limit).cloned().collect();
        let next = events.last().map_or(after, |event| event.seq);
        let more = next < ring.seq;
        message::EventPage { events, next, more }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
