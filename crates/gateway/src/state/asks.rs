//! Placing the requests of other daemons.

use std::{net, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::state::{
    Letter,
    service::{Answered, AskKey, Held, Service, Waiter},
};

/// After how long without a word a request of another daemon is taken out of the queue: its daemon
/// asks again every 200 ms, and three such words may be lost.
const ASK_KEPT: time::Duration = time::Duration::from_millis(700);

/// For how long a place that was given is told again to a daemon that asks once more: it asks two times within a
/// fifth of a second, then another daemon.
const ANSWER_KEPT: time::Duration = time::Duration::from_millis(400);

impl Service {
    /// Takes in that another daemon asks for a place, or still waits for one.
    pub(crate) fn ask_for(&mut self, now: Timestamp, peer: net::SocketAddr, ask: &gateway::Ask) {
        let key = AskKey { peer, number: ask.number };
        let demand = ask.demand(now);
        let rank = demand.rank;
        if let Some(held) = self.asks.get_mut(&key) {
            held.seen = now;
            return self.reply_queued(now, key, rank);
        }
        if let Some(answered) = self.answered.get(&key) {
            // The reply was lost; a second place would be held in vain.
            let reply = answered.reply.clone();
            return self.reply(key, reply);
        }
        if self.pool.is_empty() {
            return self.reply(key, gateway::PlaceReply::Unable);
        }
        match self.pool.arrive(now, demand) {
            gateway::Verdict::Granted(grant) => self.give(now, key, &grant),
            gateway::Verdict::Refused(refused) => self.turn_away(key, refused),
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

    /// Refuses another daemon's request.
    pub(super) fn turn_away(&mut self, key: AskKey, refused: gateway::Refused) {
        let retry_ms = ms(refused.retry_after);
        self.reply(key, gateway::PlaceReply::Refused { retry_ms });
    }

    fn reply(&mut self, key: AskKey, reply: gateway::PlaceReply) {
        let placed = gateway::Placed { service: self.name.clone(), number: key.number, reply };
        self.mail.push(Letter { to: key.peer, message: gateway::Message::Placed(placed) });
    }

    /// Gives a granted place to another daemon.
    pub(super) fn give(&mut self, now: Timestamp, key: AskKey, grant: &gateway::Grant) {
        let given = self.given.entry(key.peer).or_default();
        *given += 1;
        let given = *given;
        self.pool.promise(now, grant, key.peer, given);
        let reply = gateway::PlaceReply::Granted {
            endpoint: grant.endpoint.clone(),
            given,
            unread: grant.prompt,
            first_ms: grant.first_ms,
            beside: grant.beside,
            ahead: grant.ahead,
            age_ms: grant.age_ms,
        };
        self.answered.insert(key, Answered { reply: reply.clone(), at: now });
        self.reply(key, reply);
    }

    /// Takes in that another daemon's request needs no place any more.
    pub(crate) fn withdraw(&mut self, now: Timestamp, peer: net::SocketAddr, number: u64) {
        if let Some(held) = self.asks.remove(&AskKey { peer, number }) {
            self.waiters.remove(&held.ticket);
            self.pool.give_up(now, held.ticket);
        }
    }

    /// Forgets the work and the requests of a daemon that says nothing more.
    pub(crate) fn forget(&mut self, now: Timestamp, peer: net::SocketAddr) {
        self.pool.forget_peer(peer);
        let of_peer = |key: &&AskKey| key.peer == peer;
        let numbers: Vec<_> = self.asks.keys().filter(of_peer).map(|key| key.number).collect();
        for number in numbers {
            self.withdraw(now, peer, number);
        }
    }

    /// Drops what other daemons say nothing of any more: waiting requests, and work.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.pool.expire_peers(now);
        self.answered.retain(|_, answered| now.since(answered.at) < ANSWER_KEPT);
        let is_old = |(_, held): &(&AskKey, &Held)| now.since(held.seen) > ASK_KEPT;
        let old: Vec<_> = self.asks.iter().filter(is_old).map(|(key, _)| *key).collect();
        for key in old {
            self.withdraw(now, key.peer, key.number);
        }
    }
}

fn ms(length: time::Duration) -> u32 {
    u32::try_from(length.as_millis()).unwrap_or(u32::MAX)
}
