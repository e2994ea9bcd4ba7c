//! A request that waits for a place.

use std::sync;

use tokio::sync::oneshot;
use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::state;

/// Waits in a pool's queue, and leaves it when dropped.
pub(crate) struct Waiting {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    ticket: gateway::Ticket,
    settled: oneshot::Receiver<gateway::Settled>,
    /// Whether that was taken out of `settled`.
    taken: bool,
}

impl Waiting {
    pub(crate) const fn new(
        shared: sync::Arc<state::Shared>,
        service: id::PoolName,
        ticket: gateway::Ticket,
        settled: oneshot::Receiver<gateway::Settled>,
    ) -> Self {
        Self { shared, service, ticket, settled, taken: false }
    }

    /// Returns what has become of the request, or `None` if that was nothing until `end`.
    pub(crate) async fn settled(mut self, end: tokio::time::Instant) -> Option<gateway::Settled> {
        let settled = tokio::time::timeout_at(end, &mut self.settled).await.ok()?.ok()?;
        self.taken = true;
        Some(settled)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        // The grant may have come at the same moment.
        match self.settled.try_recv() {
            Ok(gateway::Settled::Granted(grant)) => {
                self.shared.release(&self.service, &grant, grant.prompt, gateway::Outcome::Unused);
                return;
            }
            Ok(gateway::Settled::Refused(_)) => return,
            Err(_) => {}
        }
        self.shared.core().service(&self.service).give_up(self.shared.now(), self.ticket);
    }
}
