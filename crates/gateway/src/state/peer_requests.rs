//! Places the requests of other daemons.

use std::{net, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::state::{
    OutgoingMessage,
    service::{AskKey, QueuedAsk, RecentGrant, Service, Waiter},
};

/// The time without a message after which a request of another daemon leaves the queue: its daemon repeats
/// the message every 200 ms, and three of them may be lost.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// How long a grant is kept, to be sent once more to a daemon that repeats its request: a daemon repeats it
/// within a fifth of a second, then asks another daemon.
const GRANT_RETENTION: time::Duration = time::Duration::from_millis(400);

impl Service {
    /// Handles a message of another daemon that it needs a slot, or that its request still waits for one.
    pub(crate) fn handle_ask(&mut self, now: Timestamp, peer: net::SocketAddr, ask: &gateway::Ask) {
        let key = AskKey { peer, number: ask.number };
        let pool_request = ask.pool_request(now);
        let rank = pool_request.rank;
        if let Some(queued) = self.peer_requests.get_mut(&key) {
            queued.last_seen = now;
            return self.reply_queued(now, key, rank);
        }
        if let Some(recent) = self.recent_grants.get(&key) {
            // The reply was lost. A second grant would occupy a slot for nothing.
            let reply = recent.reply.clone();
            return self.reply(key, reply);
        }
        if self.pool.is_empty() {
            return self.reply(key, gateway::PlaceReply::Unable);
        }
        match self.pool.submit(now, pool_request) {
            gateway::Admission::Granted(grant) => self.send_grant(now, key, &grant),
            gateway::Admission::Refused(refused) => self.send_refusal(key, refused),
            gateway::Admission::Queued(ticket) => {
                self.waiters.insert(ticket, Waiter::Peer(key));
                self.peer_requests.insert(key, QueuedAsk { ticket, last_seen: now });
                self.reply_queued(now, key, rank);
                self.dispatch(now);
            }
        }
    }

    fn reply_queued(&mut self, now: Timestamp, key: AskKey, rank: u8) {
        let retry_ms = ms(self.pool.retry_hint(now, rank));
        self.reply(key, gateway::PlaceReply::Queued { retry_ms });
    }

    /// Refuses another daemon's request.
    pub(super) fn send_refusal(&mut self, key: AskKey, refused: gateway::Refused) {
        let retry_ms = ms(refused.retry_after);
        self.reply(key, gateway::PlaceReply::Refused { retry_ms });
    }

    fn reply(&mut self, key: AskKey, reply: gateway::PlaceReply) {
        let placed = gateway::Placed { service: self.name.clone(), number: key.number, reply };
        self.outbox
            .push(OutgoingMessage { to: key.peer, message: gateway::Message::Placed(placed) });
    }

    /// Sends a grant to another daemon.
    pub(super) fn send_grant(&mut self, now: Timestamp, key: AskKey, grant: &gateway::Grant) {
        let given = self.grants_sent.entry(key.peer).or_default();
        *given += 1;
        let given = *given;
        self.pool.reserve(now, grant, key.peer, given);
        let reply = gateway::PlaceReply::Granted {
            endpoint: grant.endpoint.clone(),
            given,
            unread: grant.prompt,
            first_ms: grant.first_ms,
            beside: grant.running,
            ahead: grant.queued_tokens,
            age_ms: grant.age_ms,
        };
        self.recent_grants.insert(key, RecentGrant { reply: reply.clone(), at: now });
        self.reply(key, reply);
    }

    /// Handles a message that another daemon's request needs no slot any more.
    pub(crate) fn withdraw(&mut self, now: Timestamp, peer: net::SocketAddr, number: u64) {
        if let Some(queued) = self.peer_requests.remove(&AskKey { peer, number }) {
            self.waiters.remove(&queued.ticket);
            self.pool.cancel(now, queued.ticket);
        }
    }

    /// Forgets the work and the requests of a daemon that is gone.
    pub(crate) fn forget_peer(&mut self, now: Timestamp, peer: net::SocketAddr) {
        self.pool.forget_peer(peer);
        let is_from = |key: &&AskKey| key.peer == peer;
        let numbers: Vec<_> =
            self.peer_requests.keys().filter(is_from).map(|key| key.number).collect();
        for number in numbers {
            self.withdraw(now, peer, number);
        }
    }

    /// Drops queued requests and work of which the other daemons have sent no news for too long.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.pool.expire_peers(now);
        self.recent_grants.retain(|_, recent| now.since(recent.at) < GRANT_RETENTION);
        let is_expired =
            |(_, queued): &(&AskKey, &QueuedAsk)| now.since(queued.last_seen) > ASK_TIMEOUT;
        let expired: Vec<_> =
            self.peer_requests.iter().filter(is_expired).map(|(key, _)| *key).collect();
        for key in expired {
            self.withdraw(now, key.peer, key.number);
        }
    }
}

fn ms(length: time::Duration) -> u32 {
    u32::try_from(length.as_millis()).unwrap_or(u32::MAX)
}
