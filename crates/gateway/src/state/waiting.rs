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
    granted: oneshot::Receiver<gateway::Grant>,
    /// Whether a grant was taken out of `granted`.
    taken: bool,
}

impl Waiting {
    pub(crate) const fn new(
        shared: sync::Arc<state::Shared>,
        service: id::PoolName,
        ticket: gateway::Ticket,
        granted: oneshot::Receiver<gateway::Grant>,
    ) -> Self {
        Self { shared, service, ticket, granted, taken: false }
    }

    /// Returns the place, or `None` if there was none until `end`.
    pub(crate) async fn place(mut self, end: tokio::time::Instant) -> Option<gateway::Grant> {
        let granted = tokio::time::timeout_at(end, &mut self.granted).await.ok()?.ok()?;
        self.taken = true;
        Some(granted)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        // The grant may have come at the same moment.
        if let Ok(grant) = self.granted.try_recv() {
            self.shared.release(&self.service, &grant, grant.prompt, gateway::Outcome::Unused);
            return;
        }
        self.shared.core().service(&self.service).give_up(self.ticket);
    }
}
