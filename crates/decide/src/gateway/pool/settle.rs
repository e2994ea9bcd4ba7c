//! The decisions on waiting requests: a slot, or a time after which to retry.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway::{Pool, PoolRequest, QueueDecision, Refused, Ticket, pool::queue};

impl Pool {
    /// Grants slots to all waiting requests that can have one now, the most urgent first, and refuses those
    /// that have become late and cannot expect a slot.
    pub fn settle(&mut self, now: Timestamp) -> Vec<(Ticket, QueueDecision)> {
        let mut settled = Vec::new();
        self.refresh_averages(now);
        let late = self.queue.demote_late(now);
        for request in &late {
            self.grant_rates.stop_waiting(now, request.from_class);
            self.grant_rates.start_waiting(now, request.to_class);
        }
        while let Some((ticket, grant)) = self.grant_first(now) {
            if let Some(class) = self.queue.remove(ticket) {
                self.grant_rates.record_grant(now, class);
            }
            settled.push((ticket, QueueDecision::Granted(grant)));
        }
        for request in late {
            if let Some(decision) = self.settle_late(now, request.ticket) {
                settled.push((request.ticket, decision));
            }
        }
        settled
    }

    /// Probes an idle endpoint with a waiting request that has become late, or refuses it if it would wait
    /// too long.
    ///
    /// In a burst, a request that has become late moves behind all that are in time. If it is refused at
    /// once, its caller retries with most of its time left.
    fn settle_late(&mut self, now: Timestamp, ticket: Ticket) -> Option<QueueDecision> {
        let (request, position) = self.queue.get(ticket)?;
        let refused = self.refusal(now, request, position);
        let request = request.clone();
        let decision = match self.grant_probe(now, &request) {
            Some(grant) => QueueDecision::Granted(grant),
            None => QueueDecision::Refused(refused?),
        };
        self.cancel(now, ticket);
        Some(decision)
    }

    /// Returns a refusal if a request would wait too long at `position`.
    ///
    /// A caller that was refused before will not retry, so its request may wait for as long as it may still
    /// be served.
    pub(super) fn refusal(
        &self,
        now: Timestamp,
        request: &PoolRequest,
        position: &queue::Position,
    ) -> Option<Refused> {
        let wait =
            self.grant_rates.expected_wait(now, position.class(), self.queue.ahead_of(position));
        let part = if request.returning { 1.0 } else { self.params.patience_part };
        let is_refused = wait > request.patience(now).as_secs_f64() * part;
        is_refused.then(|| Refused { retry_after: self.retry_after(wait) })
    }

    /// Returns after how long a request of `rank` that waited in vain should retry.
    ///
    /// By then, all requests that wait now at its rank and the ranks before it will have been served.
    pub fn retry_hint(&self, now: Timestamp, rank: u8) -> time::Duration {
        let class = queue::class(rank, true);
        self.retry_after(self.grant_rates.expected_wait(
            now,
            class,
            self.queue.through_class(class),
        ))
    }

    fn retry_after(&self, wait: f64) -> time::Duration {
        time::Duration::from_secs_f64(wait.min(60.0)).max(self.params.least_retry_after)
    }
}
