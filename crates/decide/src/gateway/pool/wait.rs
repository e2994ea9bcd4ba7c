//! What becomes of the requests that wait: a place, or a time to come back.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway::{Demand, Pool, Refused, Settled, Ticket, pool::queue};

impl Pool {
    /// Grants all places that waiting requests can have now, the most urgent first, and refuses those
    /// that have become late with no hope of a place.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(Ticket, Settled)> {
        let mut settled = Vec::new();
        self.refresh(now);
        let late = self.queue.note_late(now);
        for moved in &late {
            self.flow.left(now, moved.from);
            self.flow.queued(now, moved.to);
        }
        while let Some((ticket, grant)) = self.grant_first(now) {
            if let Some(class) = self.queue.take(ticket) {
                self.flow.granted(now, class);
            }
            settled.push((ticket, Settled::Granted(grant)));
        }
        for moved in late {
            if let Some(refused) = self.refuse(now, moved.ticket) {
                settled.push((moved.ticket, Settled::Refused(refused)));
            }
        }
        settled
    }

    /// Refuses a request that waits, if it would wait too long.
    ///
    /// The load that this answers: a burst in which a request that has become late steps back behind
    /// all that come in time. Told at once, its caller comes back with most of its time left.
    fn refuse(&mut self, now: Timestamp, ticket: Ticket) -> Option<Refused> {
        let (demand, place) = self.queue.find(ticket)?;
        let refused = self.hopeless(now, demand, place)?;
        self.give_up(now, ticket);
        Some(refused)
    }

    /// Says that a request would wait too long at `place`, and when to come back.
    ///
    /// Who was refused before will not come again, so it may wait for as long as there is hope.
    pub(super) fn hopeless(
        &self,
        now: Timestamp,
        demand: &Demand,
        place: &queue::Place,
    ) -> Option<Refused> {
        let wait = self.flow.wait(now, place.class(), self.queue.ahead_of(place));
        let part = if demand.returning { 1.0 } else { self.params.patience_part };
        let is_hopeless = wait > demand.patience(now).as_secs_f64() * part;
        is_hopeless.then(|| Refused { retry_after: self.retry_after(wait) })
    }

    /// Returns after how long a request of `rank` should come back that waited in vain.
    ///
    /// By then all that waits now at its rank and above will have been served.
    pub fn retry_hint(&self, now: Timestamp, rank: u8) -> time::Duration {
        let class = queue::class(rank, true);
        self.retry_after(self.flow.wait(now, class, self.queue.up_to(class)))
    }

    fn retry_after(&self, wait: f64) -> time::Duration {
        time::Duration::from_secs_f64(wait.min(60.0)).max(self.params.least_retry_after)
    }
}
