//! A request that waits in a pool's queue.

use std::sync;

use tokio::sync::oneshot;
use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::state;

/// Holds a place in a pool's queue; leaves the queue when dropped.
pub(crate) struct QueuedRequest {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    ticket: gateway::Ticket,
    settled: oneshot::Receiver<gateway::QueueDecision>,
    /// Whether the result was received from `settled`.
    is_received: bool,
}

impl QueuedRequest {
    pub(crate) const fn new(
        shared: sync::Arc<state::Shared>,
        service: id::PoolName,
        ticket: gateway::Ticket,
        settled: oneshot::Receiver<gateway::QueueDecision>,
    ) -> Self {
        Self { shared, service, ticket, settled, is_received: false }
    }

    /// Returns the result for the request; `None` if there is none by `end`.
    pub(crate) async fn settled(
        mut self,
        end: tokio::time::Instant,
    ) -> Option<gateway::QueueDecision> {
        let settled = tokio::time::timeout_at(end, &mut self.settled).await.ok()?.ok()?;
        self.is_received = true;
        Some(settled)
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        if self.is_received {
            return;
        }
        // A grant may have arrived meanwhile.
        match self.settled.try_recv() {
            Ok(gateway::QueueDecision::Granted(grant)) => {
                self.shared.release(&self.service, &grant, grant.prompt, gateway::Outcome::Unused);
                return;
            }
            Ok(gateway::QueueDecision::Refused(_)) => return,
            Err(_) => {}
        }
        self.shared.core().service(&self.service).cancel(self.shared.now(), self.ticket);
    }
}
