//! One service: its pool, its retry budget and its queued requests.

use std::{collections, net, time};

use tokio::sync::{mpsc, oneshot};
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::state;

/// The state of one service and the requests that wait for its slots.
pub(crate) struct Service {
    pub(super) name: id::PoolName,
    pub(crate) pool: gateway::Pool,
    pub(crate) budget: gateway::RetryBudget,
    pub(super) waiters: collections::HashMap<gateway::Ticket, Waiter>,
    /// Requests of other daemons that are queued here.
    pub(super) peer_requests: collections::HashMap<AskKey, QueuedAsk>,
    /// Grants recently sent to other daemons.
    pub(super) recent_grants: collections::HashMap<AskKey, RecentGrant>,
    /// The number of grants sent to each daemon.
    pub(super) grants_sent: collections::HashMap<net::SocketAddr, u64>,
    /// The number of the last grant received from each daemon.
    grants_received: collections::HashMap<net::SocketAddr, u64>,
    /// Requests of this daemon that are queued at another one, by number.
    pending_requests: collections::HashMap<u64, PendingRequest>,
    last_number: u64,
    /// The daemon that got the last load report on this service; `None` if none did.
    last_placer: Option<net::SocketAddr>,
    /// What has been reported to the placer but not yet to the daemons that would take over from it.
    unreported: state::Unreported,
    /// Messages to be sent.
    pub(super) outbox: Vec<OutgoingMessage>,
}

/// A message to another daemon.
pub(crate) struct OutgoingMessage {
    pub(crate) to: net::SocketAddr,
    pub(crate) message: gateway::Message,
}

/// The owner of a queued request.
pub(super) enum Waiter {
    /// A request of this daemon.
    Own(oneshot::Sender<gateway::QueueDecision>),
    /// A request of another daemon.
    Peer(AskKey),
}

/// Identifies a request of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AskKey {
    pub(super) peer: net::SocketAddr,
    pub(super) number: u64,
}

/// A queued request of another daemon.
pub(super) struct QueuedAsk {
    pub(super) ticket: gateway::Ticket,
    /// When its daemon last said that it still waits.
    pub(super) last_seen: Timestamp,
}

/// A grant that was sent to another daemon.
pub(super) struct RecentGrant {
    pub(super) reply: gateway::PlaceReply,
    pub(super) at: Timestamp,
}

/// A request of this daemon that is queued at another one.
struct PendingRequest {
    pool_request: gateway::PoolRequest,
    replies: mpsc::UnboundedSender<Reply>,
}

/// The reply of another daemon to a request for a slot.
pub(crate) enum Reply {
    Granted(gateway::Grant),
    /// The other daemon granted a slot that cannot be used as far as this daemon knows.
    Unusable(id::EndpointName),
    Queued(time::Duration),
    Refused(time::Duration),
    Unable,
}

/// The result of a request for a slot at this daemon.
pub(crate) enum Admission {
    /// A slot was granted.
    Granted(gateway::Grant),
    /// The result will come through the channel.
    Queued(gateway::Ticket, oneshot::Receiver<gateway::QueueDecision>),
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
            peer_requests: collections::HashMap::new(),
            recent_grants: collections::HashMap::new(),
            grants_sent: collections::HashMap::new(),
            grants_received: collections::HashMap::new(),
            pending_requests: collections::HashMap::new(),
            last_number: 0,
            last_placer: None,
            unreported: state::Unreported::default(),
            outbox: Vec::new(),
        }
    }

    /// Requests a slot from this daemon's own pool.
    pub(crate) fn ask(&mut self, now: Timestamp, pool_request: gateway::PoolRequest) -> Admission {
        match self.pool.submit(now, pool_request) {
            gateway::Admission::Granted(grant) => Admission::Granted(grant),
            gateway::Admission::Refused(refused) => Admission::Refused(refused.retry_after),
            gateway::Admission::Queued(ticket) => {
                let (sender, receiver) = oneshot::channel();
                self.waiters.insert(ticket, Waiter::Own(sender));
                // The requests ahead in the queue may be unable to use a slot that is free.
                self.dispatch(now);
                Admission::Queued(ticket, receiver)
            }
        }
    }

    /// Registers a request that is to wait at another daemon; returns its number.
    pub(crate) fn register(
        &mut self,
        pool_request: gateway::PoolRequest,
        replies: mpsc::UnboundedSender<Reply>,
    ) -> u64 {
        self.last_number += 1;
        self.pending_requests.insert(self.last_number, PendingRequest { pool_request, replies });
        self.last_number
    }

    pub(crate) fn deregister(&mut self, number: u64) {
        self.pending_requests.remove(&number);
    }

    /// Handles another daemon's reply.
    pub(crate) fn handle_placed(
        &mut self,
        now: Timestamp,
        peer: net::SocketAddr,
        placed: gateway::Placed,
    ) {
        let reply = match placed.reply {
            gateway::PlaceReply::Queued { retry_ms } => Reply::Queued(millis(retry_ms)),
            gateway::PlaceReply::Refused { retry_ms } => Reply::Refused(millis(retry_ms)),
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
                let last = self.grants_received.entry(peer).or_default();
                *last = given.max(*last);
                let Some(pending) = self.pending_requests.remove(&placed.number) else { return };
                let taken = self.pool.accept_grant(now, &endpoint, &pending.pool_request, unread);
                let taken = taken.map(|grant| gateway::Grant {
                    first_ms,
                    running: beside,
                    queued_tokens: ahead,
                    age_ms,
                    ..grant
                });
                let reply = taken.map_or(Reply::Unusable(endpoint), Reply::Granted);
                if let Err(mpsc::error::SendError(Reply::Granted(grant))) =
                    pending.replies.send(reply)
                {
                    self.pool.end_request(now, &grant, grant.prompt, gateway::Outcome::Unused);
                }
                return;
            }
        };
        if let Some(pending) = self.pending_requests.get(&placed.number) {
            // The request may have stopped waiting meanwhile.
            let _ = pending.replies.send(reply);
        }
    }

    /// Reports the load of this daemon, `own`, to the daemon that places the service's requests: only the
    /// changes, or everything if `all` is set or another daemon places the requests now. The daemons that
    /// would take over get only full reports.
    pub(crate) fn report(
        &mut self,
        now: Timestamp,
        number: (u64, u64),
        own: net::SocketAddr,
        placers: &[net::SocketAddr],
        all: bool,
    ) {
        let first = placers.first().copied().filter(|placer| *placer != own);
        let is_full = all || self.last_placer != first;
        self.last_placer = first;
        let others: Vec<_> = placers.iter().copied().filter(|placer| *placer != own).collect();
        let receivers = if is_full { &others[..] } else { first.as_slice() };
        if receivers.is_empty() {
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
        let takeover_report = self.unreported.take(&report);
        for placer in receivers {
            let placed = self.grants_received.get(placer).copied().unwrap_or_default();
            let template = if Some(*placer) == first { &report } else { &takeover_report };
            let report = gateway::LoadReport { placed, ..template.clone() };
            self.outbox
                .push(OutgoingMessage { to: *placer, message: gateway::Message::Load(report) });
        }
    }

    /// Returns the messages queued since the last call.
    pub(crate) fn take_outbox(&mut self) -> Vec<OutgoingMessage> {
        std::mem::take(&mut self.outbox)
    }

    /// Grants the slots that are free now to queued requests.
    pub(crate) fn dispatch(&mut self, now: Timestamp) {
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

    fn deliver(
        &mut self,
        now: Timestamp,
        ticket: gateway::Ticket,
        settled: gateway::QueueDecision,
    ) {
        let unused = match self.waiters.remove(&ticket) {
            Some(Waiter::Own(waiter)) => waiter.send(settled).err(),
            Some(Waiter::Peer(key)) => {
                self.peer_requests.remove(&key);
                return match settled {
                    gateway::QueueDecision::Granted(grant) => self.send_grant(now, key, &grant),
                    gateway::QueueDecision::Refused(refused) => self.send_refusal(key, refused),
                };
            }
            None => Some(settled),
        };
        if let Some(gateway::QueueDecision::Granted(grant)) = unused {
            self.pool.end_request(now, &grant, grant.prompt, gateway::Outcome::Unused);
        }
    }

    pub(crate) fn cancel(&mut self, now: Timestamp, ticket: gateway::Ticket) {
        self.waiters.remove(&ticket);
        self.pool.cancel(now, ticket);
    }
}

fn millis(ms: u32) -> time::Duration {
    time::Duration::from_millis(u64::from(ms))
}
