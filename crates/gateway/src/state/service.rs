//! One service: its pool, its retry budget and who waits for it.

use std::{collections, net, time};

use tokio::sync::{mpsc, oneshot};
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

/// After how long without a word a request of another daemon is taken out of the queue: its daemon
/// asks again every 200 ms, and three such words may be lost.
const ASK_KEPT: time::Duration = time::Duration::from_millis(700);

/// Holds the decisions on one service and the requests that wait for them.
pub(crate) struct Service {
    name: id::PoolName,
    pub(crate) pool: gateway::Pool,
    pub(crate) budget: gateway::RetryBudget,
    waiters: collections::HashMap<gateway::Ticket, Waiter>,
    /// Requests of other daemons that wait here.
    asks: collections::HashMap<AskKey, Held>,
    /// By daemon, how many places it was given here.
    given: collections::HashMap<net::SocketAddr, u64>,
    /// By daemon, the last place that it gave to this one.
    placed: collections::HashMap<net::SocketAddr, u64>,
    /// Requests of this daemon that wait at another one, by number.
    asked: collections::HashMap<u64, Asked>,
    numbers: u64,
    /// What is to be sent.
    mail: Vec<Letter>,
}

/// A message on its way to another daemon.
pub(crate) struct Letter {
    pub(crate) to: net::SocketAddr,
    pub(crate) message: gateway::Message,
}

/// Who waits for a place.
enum Waiter {
    /// A request of this daemon.
    Own(oneshot::Sender<gateway::Grant>),
    /// A request of another daemon.
    Peer(AskKey),
}

/// Names a request of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AskKey {
    peer: net::SocketAddr,
    number: u64,
}

/// A request of another daemon that waits.
struct Held {
    ticket: gateway::Ticket,
    /// When its daemon last said that it waits.
    seen: Timestamp,
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
    Queued(gateway::Ticket, oneshot::Receiver<gateway::Grant>),
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
            given: collections::HashMap::new(),
            placed: collections::HashMap::new(),
            asked: collections::HashMap::new(),
            numbers: 0,
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

    /// Takes in that another daemon asks for a place, or still waits for one.
    pub(crate) fn ask_for(&mut self, now: Timestamp, peer: net::SocketAddr, ask: &gateway::Ask) {
        let key = AskKey { peer, number: ask.number };
        let demand = ask.demand(now);
        let rank = demand.rank;
        if let Some(held) = self.asks.get_mut(&key) {
            held.seen = now;
            return self.reply_queued(now, key, rank);
        }
        if self.pool.is_empty() {
            return self.reply(key, gateway::PlaceReply::Unable);
        }
        match self.pool.arrive(now, demand) {
            gateway::Verdict::Granted(grant) => self.give(now, key, &grant),
            gateway::Verdict::Refused(refused) => {
                let retry_ms = ms(refused.retry_after);
                self.reply(key, gateway::PlaceReply::Refused { retry_ms });
            }
            gateway::Verdict::Queued(ticket) => {
                self.waiters.insert(ticket, Waiter::Peer(key));
                self.asks.insert(key, Held { ticket, seen: now });
                self.reply_queued(now, key, rank);
                self.hand_out(now);
            }
        }
    }

    fn reply_queued(&mut self, now: Timestamp, key: AskKey, rank: u8) {
        let retry_ms = ms(self.pool.retry_hint(now, rank));
        self.reply(key, gateway::PlaceReply::Queued { retry_ms });
    }

    fn reply(&mut self, key: AskKey, reply: gateway::PlaceReply) {
        let placed = gateway::Placed { service: self.name.clone(), number: key.number, reply };
        self.mail.push(Letter { to: key.peer, message: gateway::Message::Placed(placed) });
    }

    /// Gives a granted place to another daemon.
    fn give(&mut self, now: Timestamp, key: AskKey, grant: &gateway::Grant) {
        let given = self.given.entry(key.peer).or_default();
        *given += 1;
        let given = *given;
        self.pool.promise(now, grant, key.peer, given);
        self.reply(
            key,
            gateway::PlaceReply::Granted {
                endpoint: grant.endpoint.clone(),
                given,
                first_ms: grant.first_ms,
                beside: grant.beside,
                age_ms: grant.age_ms,
            },
        );
    }

    /// Takes in that another daemon's request needs no place any more.
    pub(crate) fn withdraw(&mut self, peer: net::SocketAddr, number: u64) {
        if let Some(held) = self.asks.remove(&AskKey { peer, number }) {
            self.waiters.remove(&held.ticket);
            self.pool.give_up(held.ticket);
        }
    }

    /// Forgets the work and the requests of a daemon that says nothing more.
    pub(crate) fn forget(&mut self, peer: net::SocketAddr) {
        self.pool.forget_peer(peer);
        let of_peer = |key: &&AskKey| key.peer == peer;
        let numbers: Vec<_> = self.asks.keys().filter(of_peer).map(|key| key.number).collect();
        for number in numbers {
            self.withdraw(peer, number);
        }
    }

    /// Takes the requests out of the queue whose daemons say nothing of them any more.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let is_old = |(_, held): &(&AskKey, &Held)| now.since(held.seen) > ASK_KEPT;
        let old: Vec<_> = self.asks.iter().filter(is_old).map(|(key, _)| *key).collect();
        for key in old {
            self.withdraw(key.peer, key.number);
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
            gateway::PlaceReply::Granted { endpoint, given, first_ms, beside, age_ms } => {
                let last = self.placed.entry(peer).or_default();
                *last = given.max(*last);
                let Some(asked) = self.asked.remove(&placed.number) else { return };
                let taken = self.pool.take(now, &endpoint, &asked.demand);
                let taken = taken.map(|grant| gateway::Grant { first_ms, beside, age_ms, ..grant });
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

    /// Tells the daemons that place this service's requests what this one has there.
    pub(crate) fn report(
        &mut self,
        now: Timestamp,
        incarnation: u64,
        number: u64,
        placers: &[net::SocketAddr],
    ) {
        if placers.is_empty() {
            return;
        }
        let report = gateway::LoadReport {
            incarnation,
            number,
            service: self.name.clone(),
            placed: 0,
            endpoints: self.pool.report(now),
        };
        for placer in placers {
            let placed = self.placed.get(placer).copied().unwrap_or_default();
            let report = gateway::LoadReport { placed, ..report.clone() };
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
            let grants = self.pool.grant_waiting(now);
            if grants.is_empty() {
                return;
            }
            for (ticket, grant) in grants {
                self.deliver(now, ticket, grant);
            }
        }
    }

    fn deliver(&mut self, now: Timestamp, ticket: gateway::Ticket, grant: gateway::Grant) {
        let unused = match self.waiters.remove(&ticket) {
            Some(Waiter::Own(waiter)) => waiter.send(grant).err(),
            Some(Waiter::Peer(key)) => {
                self.asks.remove(&key);
                return self.give(now, key, &grant);
            }
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

fn ms(length: time::Duration) -> u32 {
    u32::try_from(length.as_millis()).unwrap_or(u32::MAX)
}

fn length(ms: u32) -> time::Duration {
    time::Duration::from_millis(u64::from(ms))
}
