//! A retry that is reserved in the retry budget.

use std::sync;

use trefoildyke_types::id;

use crate::state;

/// Reserves one retry in a service's retry budget; returns it if dropped before the send.
pub(crate) struct RetryReservation {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    is_sent: bool,
}

impl RetryReservation {
    /// Takes a retry from the budget of `service`. Returns `None` if none is available.
    pub(crate) fn take(shared: &sync::Arc<state::Shared>, service: &id::PoolName) -> Option<Self> {
        let now = shared.now();
        let mut core = shared.core();
        let share = core.mesh.equal_share(now);
        let is_taken = core.service(service).budget.take(now, share);
        drop(core);
        is_taken.then(|| Self {
            shared: sync::Arc::clone(shared),
            service: service.clone(),
            is_sent: false,
        })
    }

    /// Records that the retry is sent now.
    pub(crate) fn mark_sent(mut self) {
        self.is_sent = true;
        let now = self.shared.now();
        self.shared.core().service(&self.service).budget.retry_sent(now);
    }
}

impl Drop for RetryReservation {
    fn drop(&mut self) {
        if !self.is_sent {
            self.shared.core().service(&self.service).budget.give_back();
        }
    }
}
