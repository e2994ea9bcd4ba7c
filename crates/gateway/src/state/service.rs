//! One service: its pool, its retry budget and who waits for it.

use std::{collections, time};

use tokio::sync::oneshot;
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

/// Holds the decisions on one service and the requests that wait for them.
pub(crate) struct Service {
    pub(crate) pool: gateway::Pool,
    pub(crate) budget: gateway::RetryBudget,
    waiters: collections::HashMap<gateway::Ticket, oneshot::Sender<gateway::Grant>>,
}

/// Says what becomes of a request for a slot.
pub(crate) enum Asked {
    /// It has one.
    Granted(gateway::Grant),
    /// It is told through the channel.
    Queued(gateway::Ticket, oneshot::Receiver<gateway::Grant>),
    /// It would wait too long.
    Refused(time::Duration),
}

impl Service {
    pub(crate) fn new(pool: gateway::Pool, budget: gateway::RetryBudget) -> Self {
        Self { pool, budget, waiters: collections::HashMap::new() }
    }

    pub(crate) fn ask(&mut self, now: Timestamp, demand: gateway::Demand) -> Asked {
        match self.pool.arrive(now, demand) {
            gateway::Verdict::Granted(grant) => Asked::Granted(grant),
            gateway::Verdict::Refused(refused) => Asked::Refused(refused.retry_after),
            gateway::Verdict::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(ticket, sender);
                Asked::Queued(ticket, receiver)
            }
        }
    }

    /// Hands out the places that are free now.
    pub(crate) fn hand_out(&mut self, now: Timestamp) {
        loop {
            let grants = self.pool.grant_waiting(now);
            if grants.is_empty() {
                return;
            }
            for (ticket, grant) in grants {
                self.deliver(now, ticket, grant);
            }
        }
    }

    /// Takes a slot that another daemon offers, if a waiting request can use it.
    pub(crate) fn accept(&mut self, now: Timestamp, endpoint: &id::EndpointName) {
        if let Some((ticket, grant)) = self.pool.accept(now, endpoint) {
            self.deliver(now, ticket, grant);
        }
    }

    fn deliver(&mut self, now: Timestamp, ticket: gateway::Ticket, grant: gateway::Grant) {
        let waiter = self.waiters.remove(&ticket);
        let unused = match waiter {
            Some(waiter) => waiter.send(grant).err(),
            None => Some(grant),
        };
        if let Some(grant) = unused {
            self.pool.end(now, &grant, grant.prompt, gateway::Outcome::Unused);
        }
    }

    pub(crate) fn give_up(&mut self, ticket: gateway::Ticket) {
        self.waiters.remove(&ticket);
        self.pool.give_up(ticket);
    }
}
