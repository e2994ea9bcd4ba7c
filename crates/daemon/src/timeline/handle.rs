//! Writing and reading the time line.

use std::{collections, sync};

use trefoildyke_types::{event, id};
use trefoildyke_wire::{operators::message, peer};

use crate::clock;

#[derive(Debug)]
struct Ring {
    /// Consecutive events, the oldest first; never more than `limit`.
    events: collections::VecDeque<event::Event>,
    limit: usize,
    /// The position of the last event.
    seq: u64,
}

/// Writes and reads the time line; published as `timeline`.
///
/// The logical clock of an event is a Lamport clock that never lags behind the wall clock in
/// microseconds. So events that depend on one another through messages are in order whatever the
/// hosts' clocks say, and the others nearly so.
#[derive(Clone, Debug)]
pub struct Handle {
    host: id::HostName,
    incarnation: id::Incarnation,
    /// Shared with the connections to peers.
    clock: peer::Clock,
    ring: sync::Arc<sync::Mutex<Ring>>,
}

impl Handle {
    /// Creates the time line of one daemon, which keeps the last `limit` events.
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

    /// Records a state change.
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

    /// Returns at most `limit` events after position `after`.
    pub fn read(&self, after: u64, limit: usize) -> message::EventPage {
        let ring = self.lock();
        let first = ring.seq - ring.events.len() as u64;
        let skip = usize::try_from(after.saturating_sub(first)).unwrap_or(usize::MAX);
        let events: Vec<_> = ring.events.iter().skip(skip).take(limit).cloned().collect();
        let next = events.last().map_or(after, |event| event.seq);
        let more = next < ring.seq;
        message::EventPage { events, next, more }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Ring> {
        self.ring.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
