//! The waiting requests of one daemon at one service.

use std::collections;

use trefoildyke_types::time::Timestamp;

use crate::gateway::{Demand, Ticket};

/// Orders waiting requests by rank, then by whether their objective can still be met.
///
/// A burst that lasts longer than the objective makes a plain queue serve everyone late. Here a
/// request whose objective has passed steps back behind those of its rank that can still be served
/// in time; it is served when the burst is over, well before its deadline.
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
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    rank: u8,
    late: bool,
    /// The objective, or the deadline of a late request.
    due: Timestamp,
    ticket: Ticket,
}

impl Queue {
    pub(super) fn push(&mut self, now: Timestamp, ticket: Ticket, demand: Demand) {
        let late = now >= demand.objective;
        let due = if late { demand.deadline } else { demand.objective };
        let place = Place { rank: demand.rank, late, due, ticket };
        if !late {
            self.objectives.insert((demand.objective, ticket));
        }
        self.order.insert(place);
        self.waiting.insert(ticket, Waiting { demand, place });
    }

    /// Moves the requests whose objective has passed back.
    pub(super) fn note_late(&mut self, now: Timestamp) {
        while let Some((objective, ticket)) = self.objectives.first().copied() {
            if objective > now {
                return;
            }
            self.objectives.remove(&(objective, ticket));
            if let Some(waiting) = self.waiting.get_mut(&ticket) {
                self.order.remove(&waiting.place);
                waiting.place.late = true;
                waiting.place.due = waiting.demand.deadline;
                self.order.insert(waiting.place);
            }
        }
    }

    pub(super) fn take(&mut self, ticket: Ticket) -> Option<Demand> {
        let waiting = self.waiting.remove(&ticket)?;
        self.order.remove(&waiting.place);
        self.objectives.remove(&(waiting.demand.objective, ticket));
        Some(waiting.demand)
    }

    pub(super) fn first(&self) -> Option<(Ticket, Demand)> {
        let place = self.order.first()?;
        let waiting = self.waiting.get(&place.ticket)?;
        Some((place.ticket, waiting.demand.clone()))
    }

    /// Says whether a waiting request goes before a new one that is not late.
    pub(super) fn is_blocked_by(&self, demand: &Demand) -> bool {
        self.order.first().is_some_and(|first| {
            (first.rank, first.late, first.due) <= (demand.rank, false, demand.objective)
        })
    }

    /// Returns how many requests of `rank` and more urgent ones wait.
    pub(super) fn up_to(&self, rank: u8) -> usize {
        self.order.iter().take_while(|place| place.rank <= rank).count()
    }

    /// Returns how many requests wait, by rank.
    pub(super) fn counts(&self) -> Vec<u16> {
        let mut counts: Vec<u16> = Vec::new();
        for place in &self.order {
            let rank = usize::from(place.rank);
            if counts.len() <= rank {
                counts.resize(rank + 1, 0);
            }
            counts[rank] = counts[rank].saturating_add(1);
        }
        counts
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}
