//! The waiting requests of one daemon at one service.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway::{Demand, Ticket, pool::flow};

/// Orders waiting requests by rank, then by whether their objective can still be met, then by
/// objective and length.
///
/// The load that this answers: a burst of twice the usual for a few seconds, with answers whose
/// lengths differ a hundredfold. A queue in order of arrival then serves everyone late, and the
/// longest tenth of the answers takes more than half of the slots' time. Here
/// - a request whose objective has passed steps back behind those of its rank that can still be
///   served in time;
/// - a request counts as due later the longer it will hold its slot, so that the few long ones
///   wait until the burst is over;
/// - among the late, a caller that was refused before goes first, since it will not come again. It
///   does not go before those that are in time: under lasting overload everyone would be late.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: collections::HashMap<Ticket, Waiting>,
    order: collections::BTreeSet<Place>,
    /// When the objectives of requests that are not late pass.
    objectives: collections::BTreeSet<(Timestamp, Ticket)>,
}

#[derive(Clone, Debug)]
struct Waiting {
    demand: Demand,
    place: Place,
    service: Service,
}

/// Says how long a request is expected to take once it has a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Service {
    /// To its first event.
    pub(super) first: time::Duration,
    /// To its end.
    pub(super) whole: time::Duration,
}

impl Service {
    /// Returns until when a request must have a slot to meet its objective.
    fn latest(&self, demand: &Demand) -> Timestamp {
        let first = self.first.as_micros() as u64;
        Timestamp::from_micros(demand.objective.as_micros().saturating_sub(first))
    }
}

/// How much later a request is due for each second that it will hold its slot, in seconds.
const LENGTH_WEIGHT: f64 = 0.3;

/// How much later it is due at most: about as long as a request stays in time, so that a long one goes
/// before short ones that come that much later. With three seconds the longest tenth of the answers
/// was served less than half as often as all (0.26 of 0.56 in an overload of some seconds).
const LONGEST_DELAY: time::Duration = time::Duration::from_millis(400);

/// Says where a request stands in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    rank: u8,
    late: bool,
    due: Timestamp,
    ticket: Ticket,
}

/// A request that has become late.
#[derive(Clone, Copy, Debug)]
pub(super) struct Moved {
    pub(super) ticket: Ticket,
    /// Its class before.
    pub(super) from: usize,
    /// Its class now.
    pub(super) to: usize,
}

impl Place {
    /// Returns the class: requests of a lower one go first.
    pub(super) const fn class(&self) -> usize {
        class(self.rank, self.late)
    }
}

/// Returns the class of requests of a rank: twice the rank, and one more for those that are late.
pub(super) const fn class(rank: u8, late: bool) -> usize {
    rank as usize * 2 + late as usize
}

impl Queue {
    /// Returns where a new request would stand.
    pub(super) fn place(
        &self,
        now: Timestamp,
        ticket: Ticket,
        demand: &Demand,
        service: Service,
    ) -> Place {
        let late = now >= service.latest(demand);
        Place { rank: demand.rank, late, due: due(demand, late, service), ticket }
    }

    pub(super) fn push(&mut self, place: Place, demand: Demand, service: Service) {
        if !place.late {
            self.objectives.insert((service.latest(&demand), place.ticket));
        }
        self.order.insert(place);
        self.waiting.insert(place.ticket, Waiting { demand, place, service });
    }

    /// Moves the requests back whose objective cannot be met any more, and returns them.
    pub(super) fn note_late(&mut self, now: Timestamp) -> Vec<Moved> {
        let mut late = Vec::new();
        while let Some((latest, ticket)) = self.objectives.first().copied() {
            if latest > now {
                break;
            }
            self.objectives.remove(&(latest, ticket));
            if let Some(waiting) = self.waiting.get_mut(&ticket) {
                let from = waiting.place.class();
                self.order.remove(&waiting.place);
                waiting.place.late = true;
                waiting.place.due = due(&waiting.demand, true, waiting.service);
                self.order.insert(waiting.place);
                late.push(Moved { ticket, from, to: waiting.place.class() });
            }
        }
        late
    }

    /// Returns a waiting request and where it stands.
    pub(super) fn find(&self, ticket: Ticket) -> Option<(&Demand, &Place)> {
        let waiting = self.waiting.get(&ticket)?;
        Some((&waiting.demand, &waiting.place))
    }

    /// Takes a request out and returns its class.
    pub(super) fn take(&mut self, ticket: Ticket) -> Option<usize> {
        let waiting = self.waiting.remove(&ticket)?;
        self.order.remove(&waiting.place);
        self.objectives.remove(&(waiting.service.latest(&waiting.demand), ticket));
        Some(waiting.place.class())
    }

    /// Returns the requests in order, with their classes.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Ticket, usize, &Demand)> {
        self.order.iter().filter_map(|place| {
            let waiting = self.waiting.get(&place.ticket)?;
            Some((place.ticket, place.class(), &waiting.demand))
        })
    }

    /// Returns how many requests stand before a place.
    pub(super) fn ahead_of(&self, place: &Place) -> flow::Ahead {
        count(self.order.iter().take_while(|other| *other < place), place.class())
    }

    /// Returns how many requests of `class` and of those that go first wait.
    pub(super) fn up_to(&self, class: usize) -> flow::Ahead {
        count(self.order.iter().take_while(|place| place.class() <= class), class)
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

fn count<'a>(places: impl Iterator<Item = &'a Place>, class: usize) -> flow::Ahead {
    places.fold(flow::Ahead::default(), |ahead, place| {
        if place.class() < class {
            flow::Ahead { first: ahead.first + 1, ..ahead }
        } else {
            flow::Ahead { own: ahead.own + 1, ..ahead }
        }
    })
}

fn due(demand: &Demand, late: bool, service: Service) -> Timestamp {
    if late && demand.returning {
        return Timestamp::ZERO;
    }
    let base = if late { demand.leaves } else { demand.objective };
    base + service.whole.mul_f64(LENGTH_WEIGHT).min(LONGEST_DELAY)
}
