//! A request that asks another daemon for a slot.

use std::{net, sync};

use tokio::sync::mpsc;
use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::state::{self, Reply};

/// Asks another daemon for a slot; withdraws the request when dropped.
pub(crate) struct RemoteRequest {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    peer: net::SocketAddr,
    number: u64,
    pool_request: gateway::PoolRequest,
    replies: mpsc::UnboundedReceiver<Reply>,
    /// Whether the other daemon still has the request in its queue.
    is_queued: bool,
}

impl RemoteRequest {
    pub(crate) fn start(
        shared: sync::Arc<state::Shared>,
        service: id::PoolName,
        peer: net::SocketAddr,
        pool_request: gateway::PoolRequest,
    ) -> Self {
        let (sender, replies) = mpsc::unbounded_channel();
        let number = shared.core().service(&service).register(pool_request.clone(), sender);
        let request =
            Self { shared, service, peer, number, pool_request, replies, is_queued: true };
        request.ask();
        request
    }

    /// Asks for a slot, or tells the other daemon that the request still waits.
    pub(crate) fn ask(&self) {
        let now = self.shared.now();
        let ask = gateway::Ask::new(self.service.clone(), self.number, now, &self.pool_request);
        self.shared.send(&gateway::Message::Ask(ask), &[self.peer]);
    }

    /// Waits for the next reply.
    pub(crate) async fn reply(&mut self) -> Reply {
        // The sender is kept for as long as the request is registered.
        let reply = self.replies.recv().await.unwrap_or(Reply::Unable);
        self.is_queued = matches!(reply, Reply::Queued(_));
        reply
    }
}

impl Drop for RemoteRequest {
    fn drop(&mut self) {
        self.shared.update(|core| core.service(&self.service).deregister(self.number));
        // A grant that has arrived meanwhile is released.
        while let Ok(reply) = self.replies.try_recv() {
            if let Reply::Granted(grant) = reply {
                self.shared.release(&self.service, &grant, grant.prompt, gateway::Outcome::Unused);
                self.is_queued = false;
            }
        }
        if self.is_queued {
            let (service, number) = (self.service.clone(), self.number);
            self.shared.send(&gateway::Message::Withdraw { service, number }, &[self.peer]);
        }
    }
}
