//! The queue of the waiting requests of one service at one daemon.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway::{PoolRequest, Ticket, pool::grant_rates};

/// A queue of waiting requests, ordered by rank, then by whether the objective can still be met, then by
/// objective and length.
///
/// The order is designed for a burst of twice the usual load for a few seconds, with answers whose lengths
/// differ a hundredfold. In order of arrival everyone would be served late, and the longest tenth of the
/// answers would take more than half of the slots' time. Instead:
/// - A request whose objective can no longer be met moves behind those of its rank that can still be served
///   in time.
/// - The longer a request will hold its slot, the later it is due, so that the few long ones wait until the
///   burst is over.
/// - Among the late requests, those of callers that were refused before go first, since these callers will
///   not retry. They do not overtake requests that are in time: under lasting overload everyone would be
///   late.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: collections::HashMap<Ticket, Waiting>,
    order: collections::BTreeSet<Position>,
    /// The times after which requests can no longer meet their objectives, for those that are not late.
    latest_starts: collections::BTreeSet<(Timestamp, Ticket)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    request: PoolRequest,
    position: Position,
    service_time: ServiceTime,
}

/// How long a request is expected to take once it has a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServiceTime {
    /// The time to its first event.
    pub(super) first_event: time::Duration,
    /// The time to its end.
    pub(super) total: time::Duration,
}

impl ServiceTime {
    /// Returns the latest time at which a request must have a slot to meet its objective.
    fn latest_start(&self, request: &PoolRequest) -> Timestamp {
        let first_event = self.first_event.as_micros() as u64;
        Timestamp::from_micros(request.objective.as_micros().saturating_sub(first_event))
    }
}

/// How much later a request is due for each second that it will hold its slot, in seconds.
const LENGTH_WEIGHT: f64 = 0.3;

/// The most by which a request's length delays its due time: about as long as a request stays in time, so
/// that a long request overtakes short ones that arrive that much later. With three seconds, the longest
/// tenth of the answers was served less than half as often as all answers (0.26 against 0.56 in an overload
/// of some seconds).
const MAX_LENGTH_DELAY: time::Duration = time::Duration::from_millis(400);

/// The position of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Position {
    rank: u8,
    late: bool,
    due: Timestamp,
    ticket: Ticket,
}

/// A request that has become late.
#[derive(Clone, Copy, Debug)]
pub(super) struct LateRequest {
    pub(super) ticket: Ticket,
    /// Its class before.
    pub(super) from_class: usize,
    /// Its class now.
    pub(super) to_class: usize,
}

impl Position {
    /// Returns whether the request cannot meet its objective any more.
    pub(super) const fn is_late(&self) -> bool {
        self.late
    }

    /// Returns the class; requests of a lower class go first.
    pub(super) const fn class(&self) -> usize {
        class(self.rank, self.late)
    }
}

/// Returns the class of requests of a rank: twice the rank, plus one for late requests.
pub(super) const fn class(rank: u8, late: bool) -> usize {
    rank as usize * 2 + late as usize
}

impl Queue {
    /// Returns the position that a new request would have.
    pub(super) fn position(
        &self,
        now: Timestamp,
        ticket: Ticket,
        request: &PoolRequest,
        service_time: ServiceTime,
    ) -> Position {
        let late = now >= service_time.latest_start(request);
        Position { rank: request.rank, late, due: due(request, late, service_time), ticket }
    }

    pub(super) fn push(
        &mut self,
        position: Position,
        request: PoolRequest,
        service_time: ServiceTime,
    ) {
        if !position.late {
            self.latest_starts.insert((service_time.latest_start(&request), position.ticket));
        }
        self.order.insert(position);
        self.waiting.insert(position.ticket, Waiting { request, position, service_time });
    }

    /// Moves the requests back whose objectives can no longer be met, and returns them.
    pub(super) fn demote_late(&mut self, now: Timestamp) -> Vec<LateRequest> {
        let mut late = Vec::new();
        while let Some((latest_start, ticket)) = self.latest_starts.first().copied() {
            if latest_start > now {
                break;
            }
            self.latest_starts.remove(&(latest_start, ticket));
            if let Some(waiting) = self.waiting.get_mut(&ticket) {
                let from_class = waiting.position.class();
                self.order.remove(&waiting.position);
                waiting.position.late = true;
                waiting.position.due = due(&waiting.request, true, waiting.service_time);
                self.order.insert(waiting.position);
                late.push(LateRequest { ticket, from_class, to_class: waiting.position.class() });
            }
        }
        late
    }

    /// Returns a waiting request and its position.
    pub(super) fn get(&self, ticket: Ticket) -> Option<(&PoolRequest, &Position)> {
        let waiting = self.waiting.get(&ticket)?;
        Some((&waiting.request, &waiting.position))
    }

    /// Removes a request and returns its class.
    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<usize> {
        let waiting = self.waiting.remove(&ticket)?;
        self.order.remove(&waiting.position);
        self.latest_starts.remove(&(waiting.service_time.latest_start(&waiting.request), ticket));
        Some(waiting.position.class())
    }

    /// Returns the requests in order, with their classes.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Ticket, usize, &PoolRequest)> {
        self.order.iter().filter_map(|position| {
            let waiting = self.waiting.get(&position.ticket)?;
            Some((position.ticket, position.class(), &waiting.request))
        })
    }

    /// Returns the number of requests ahead of a position.
    pub(super) fn ahead_of(&self, position: &Position) -> grant_rates::Ahead {
        count_ahead(self.order.iter().take_while(|other| *other < position), position.class())
    }

    /// Returns the number of waiting requests of `class` and of the classes before it.
    pub(super) fn through_class(&self, class: usize) -> grant_rates::Ahead {
        count_ahead(self.order.iter().take_while(|position| position.class() <= class), class)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

fn count_ahead<'a>(
    positions: impl Iterator<Item = &'a Position>,
    class: usize,
) -> grant_rates::Ahead {
    positions.fold(grant_rates::Ahead::default(), |ahead, position| {
        if position.class() < class {
            grant_rates::Ahead { lower_classes: ahead.lower_classes + 1, ..ahead }
        } else {
            grant_rates::Ahead { own_class: ahead.own_class + 1, ..ahead }
        }
    })
}

fn due(request: &PoolRequest, late: bool, service_time: ServiceTime) -> Timestamp {
    if late && request.returning {
        return Timestamp::ZERO;
    }
    let base = if late { request.leaves_at } else { request.objective };
    base + service_time.total.mul_f64(LENGTH_WEIGHT).min(MAX_LENGTH_DELAY)
}
