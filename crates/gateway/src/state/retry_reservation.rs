//! A retry that is reserved in the retry budget.

use std::sync;

use trefoildyke_types::id;

use crate::state;

/// Reserves one retry in a service's retry budget; returns it if dropped before the send.
pub(crate) struct RetryReservation {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    is_settled: bool,
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
            is_settled: false,
        })
    }

    /// Records that the retry is sent now; returns whether the budget still allows it.
    pub(crate) fn redeem(mut self) -> bool {
        self.is_settled = true;
        let now = self.shared.now();
        let mut core = self.shared.core();
        let share = core.mesh.equal_share(now);
        core.service(&self.service).budget.send(now, share)
    }
}

impl Drop for RetryReservation {
    fn drop(&mut self) {
        if !self.is_settled {
            self.shared.core().service(&self.service).budget.give_back();
        }
    }
}
