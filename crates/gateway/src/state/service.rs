//! One service: its pool, its retry budget and who waits for it.

use std::{collections, net, time};

use tokio::sync::{mpsc, oneshot};
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::state;

/// Holds the decisions on one service and the requests that wait for them.
pub(crate) struct Service {
    pub(super) name: id::PoolName,
    pub(crate) pool: gateway::Pool,
    pub(crate) budget: gateway::RetryBudget,
    pub(super) waiters: collections::HashMap<gateway::Ticket, Waiter>,
    /// Requests of other daemons that wait here.
    pub(super) asks: collections::HashMap<AskKey, Held>,
    /// Requests of other daemons that were given a place of late.
    pub(super) answered: collections::HashMap<AskKey, Answered>,
    /// By daemon, how many places it was given here.
    pub(super) given: collections::HashMap<net::SocketAddr, u64>,
    /// By daemon, the last place that it gave to this one.
    placed: collections::HashMap<net::SocketAddr, u64>,
    /// Requests of this daemon that wait at another one, by number.
    asked: collections::HashMap<u64, Asked>,
    numbers: u64,
    /// The daemon that was told of the work here last; `None` for none.
    told: Option<net::SocketAddr>,
    /// What those who would take over have not been told.
    learned: state::Untold,
    /// What is to be sent.
    pub(super) mail: Vec<Letter>,
}

/// A message on its way to another daemon.
pub(crate) struct Letter {
    pub(crate) to: net::SocketAddr,
    pub(crate) message: gateway::Message,
}

/// Who waits for a place.
pub(super) enum Waiter {
    /// A request of this daemon.
    Own(oneshot::Sender<gateway::Settled>),
    /// A request of another daemon.
    Peer(AskKey),
}

/// Names a request of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AskKey {
    pub(super) peer: net::SocketAddr,
    pub(super) number: u64,
}

/// A request of another daemon that waits.
pub(super) struct Held {
    pub(super) ticket: gateway::Ticket,
    /// When its daemon last said that it waits.
    pub(super) seen: Timestamp,
}

/// A place that another daemon was given.
pub(super) struct Answered {
    pub(super) reply: gateway::PlaceReply,
    pub(super) at: Timestamp,
}

/// A request of this daemon that waits at another one.
struct Asked {
    demand: gateway::Demand,
    replies: mpsc::UnboundedSender<Reply>,
}

/// What another daemon replies to a request for a place.
pub(crate) enum Reply {
    Granted(gateway::Grant),
    /// It was given a place that cannot be used as far as this daemon knows.
    Unusable(id::EndpointName),
    Queued(time::Duration),
    Refused(time::Duration),
    Unable,
}

/// Says what becomes of a request for a place at this daemon.
pub(crate) enum Verdict {
    /// It has one.
    Granted(gateway::Grant),
    /// It is told through the channel.
    Queued(gateway::Ticket, oneshot::Receiver<gateway::Settled>),
    /// It would wait too long.
    Refused(time::Duration),
}

impl Service {
    pub(crate) fn new(
        name: id::PoolName,
        pool: gateway::Pool,
        budget: gateway::RetryBudget,
    ) -> Self {
        Self {
            name,
            pool,
            budget,
            waiters: collections::HashMap::new(),
            asks: collections::HashMap::new(),
            answered: collections::HashMap::new(),
            given: collections::HashMap::new(),
            placed: collections::HashMap::new(),
            asked: collections::HashMap::new(),
            numbers: 0,
            told: None,
            learned: state::Untold::default(),
            mail: Vec::new(),
        }
    }

    /// Asks this daemon's own pool for a place.
    pub(crate) fn ask(&mut self, now: Timestamp, demand: gateway::Demand) -> Verdict {
        match self.pool.arrive(now, demand) {
            gateway::Verdict::Granted(grant) => Verdict::Granted(grant),
            gateway::Verdict::Refused(refused) => Verdict::Refused(refused.retry_after),
            gateway::Verdict::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(ticket, Waiter::Own(sender));
                // What waits before it may not be able to use what is free.
                self.hand_out(now);
                Verdict::Queued(ticket, receiver)
            }
        }
    }

    /// Registers a request that is to wait at another daemon; returns its number.
    pub(crate) fn register(
        &mut self,
        demand: gateway::Demand,
        replies: mpsc::UnboundedSender<Reply>,
    ) -> u64 {
        self.numbers += 1;
        self.asked.insert(self.numbers, Asked { demand, replies });
        self.numbers
    }

    pub(crate) fn deregister(&mut self, number: u64) {
        self.asked.remove(&number);
    }

    /// Takes in another daemon's reply.
    pub(crate) fn placed(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        placed: gateway::Placed,
    ) {
        let reply = match placed.reply {
            gateway::PlaceReply::Queued { retry_ms } => Reply::Queued(length(retry_ms)),
            gateway::PlaceReply::Refused { retry_ms } => Reply::Refused(length(retry_ms)),
            gateway::PlaceReply::Unable => Reply::Unable,
            gateway::PlaceReply::Granted {
                endpoint,
                given,
                unread,
                first_ms,
                beside,
                ahead,
                age_ms,
            } => {
                let last = self.placed.entry(peer).or_default();
                *last = given.max(*last);
                let Some(asked) = self.asked.remove(&placed.number) else { return };
                let taken = self.pool.take(now, &endpoint, &asked.demand, unread);
                let taken =
                    taken.map(|grant| gateway::Grant { first_ms, beside, ahead, age_ms, ..grant });
                let reply = taken.map_or(Reply::Unusable(endpoint), Reply::Granted);
                if let Err(mpsc::error::SendError(Reply::Granted(grant))) =
                    asked.replies.send(reply)
                {
                    self.pool.end(now, &grant, grant.prompt, gateway::Outcome::Unused);
                }
                return;
            }
        };
        if let Some(asked) = self.asked.get(&placed.number) {
            // Who waited may have left at the same moment.
            let _ = asked.replies.send(reply);
        }
    }

    /// Tells the daemon that places this service's requests what this one, `own`, has there: what has changed, or all
    /// if that is asked for or another one places them now. Those that would take over are told only with all.
    pub(crate) fn report(
        &mut self,
        now: Timestamp,
        number: (u64, u64),
        own: net::SocketAddr,
        placers: &[net::SocketAddr],
        all: bool,
    ) {
        let first = placers.first().copied().filter(|placer| *placer != own);
        let is_full = all || self.told != first;
        self.told = first;
        let others: Vec<_> = placers.iter().copied().filter(|placer| *placer != own).collect();
        let told = if is_full { &others[..] } else { first.as_slice() };
        if told.is_empty() {
            return;
        }
        let (incarnation, number) = number;
        let report = gateway::LoadReport {
            incarnation,
            number,
            service: self.name.clone(),
            is_full,
            placed: 0,
            endpoints: self.pool.report(now, is_full),
        };
        let later = self.learned.take(&report);
        for placer in told {
            let placed = self.placed.get(placer).copied().unwrap_or_default();
            let base = if Some(*placer) == first { &report } else { &later };
            let report = gateway::LoadReport { placed, ..base.clone() };
            self.mail.push(Letter { to: *placer, message: gateway::Message::Load(report) });
        }
    }

    /// Returns what is to be sent since the last call.
    pub(crate) fn take_mail(&mut self) -> Vec<Letter> {
        std::mem::take(&mut self.mail)
    }

    /// Hands out the places that are free now.
    pub(crate) fn hand_out(&mut self, now: Timestamp) {
        loop {
            let settled = self.pool.settle(now);
            if settled.is_empty() {
                return;
            }
            for (ticket, settled) in settled {
                self.deliver(now, ticket, settled);
            }
        }
    }

    fn deliver(&mut self, now: Timestamp, ticket: gateway::Ticket, settled: gateway::Settled) {
        let unused = match self.waiters.remove(&ticket) {
            Some(Waiter::Own(waiter)) => waiter.send(settled).err(),
            Some(Waiter::Peer(key)) => {
                self.asks.remove(&key);
                return match settled {
                    gateway::Settled::Granted(grant) => self.give(now, key, &grant),
                    gateway::Settled::Refused(refused) => self.turn_away(key, refused),
                };
            }
            None => Some(settled),
        };
        if let Some(gateway::Settled::Granted(grant)) = unused {
            self.pool.end(now, &grant, grant.prompt, gateway::Outcome::Unused);
        }
    }

    pub(crate) fn give_up(&mut self, now: Timestamp, ticket: gateway::Ticket) {
        self.waiters.remove(&ticket);
        self.pool.give_up(now, ticket);
    }
}

fn length(ms: u32) -> time::Duration {
    time::Duration::from_millis(u64::from(ms))
}
