//! A request that waits for a place at another daemon.

use std::{net, sync};

use tokio::sync::mpsc;
use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::state::{self, Reply};

/// Asks another daemon for a place; takes that back when dropped.
pub(crate) struct Asking {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    peer: net::SocketAddr,
    number: u64,
    demand: gateway::Demand,
    replies: mpsc::UnboundedReceiver<Reply>,
    /// Whether the other daemon still holds the request.
    is_open: bool,
}

impl Asking {
    pub(crate) fn start(
        shared: sync::Arc<state::Shared>,
        service: id::PoolName,
        peer: net::SocketAddr,
        demand: gateway::Demand,
    ) -> Self {
        let (sender, replies) = mpsc::unbounded_channel();
        let number = shared.core().service(&service).register(demand.clone(), sender);
        let asking = Self { shared, service, peer, number, demand, replies, is_open: true };
        asking.ask();
        asking
    }

    /// Asks, or says that the request still waits.
    pub(crate) fn ask(&self) {
        let now = self.shared.now();
        let ask = gateway::Ask::new(self.service.clone(), self.number, now, &self.demand);
        self.shared.tell(&gateway::Message::Ask(ask), &[self.peer]);
    }

    /// Waits for the next reply.
    pub(crate) async fn reply(&mut self) -> Reply {
        // The sender lives as long as the request is registered.
        let reply = self.replies.recv().await.unwrap_or(Reply::Unable);
        self.is_open = matches!(reply, Reply::Queued(_));
        reply
    }
}

impl Drop for Asking {
    fn drop(&mut self) {
        self.shared.decide(|core| core.service(&self.service).deregister(self.number));
        // A place that has come at the same moment is given back.
        while let Ok(reply) = self.replies.try_recv() {
            if let Reply::Granted(grant) = reply {
                self.shared.release(&self.service, &grant, grant.prompt, gateway::Outcome::Unused);
                self.is_open = false;
            }
        }
        if self.is_open {
            let (service, number) = (self.service.clone(), self.number);
            self.shared.tell(&gateway::Message::Withdraw { service, number }, &[self.peer]);
        }
    }
}
