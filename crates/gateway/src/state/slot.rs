//! A slot that a request holds at an endpoint.

use std::{sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::state;

/// Holds a slot until dropped.
pub(crate) struct Slot {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    grant: gateway::Grant,
    /// The prompt's tokens that the endpoint has to process; 0 once the first event has come.
    prompt: u32,
    outcome: gateway::Outcome,
    last_event: Option<Timestamp>,
}

impl Slot {
    pub(crate) const fn new(
        shared: sync::Arc<state::Shared>,
        service: id::PoolName,
        grant: gateway::Grant,
    ) -> Self {
        let prompt = grant.prompt;
        let outcome = gateway::Outcome::Cancelled;
        Self { shared, service, grant, prompt, outcome, last_event: None }
    }

    pub(crate) const fn grant(&self) -> &gateway::Grant {
        &self.grant
    }

    /// Sets how the work at the endpoint ended.
    pub(crate) const fn set_outcome(&mut self, outcome: gateway::Outcome) {
        self.outcome = outcome;
    }

    /// Records that a part of the answer has come; returns the time since the previous part.
    pub(crate) fn record_part(&mut self) -> Option<time::Duration> {
        let now = self.shared.now();
        let prompt = std::mem::take(&mut self.prompt);
        let Some(last) = self.last_event.replace(now) else {
            self.shared.update(|core| {
                let service = core.service(&self.service);
                service.pool.record_first_event(now, &self.grant, prompt);
                service.dispatch(now);
                core.report(now, &self.service);
            });
            return None;
        };
        let pause = now.since(last);
        let mut core = self.shared.core();
        let pool = &mut core.service(&self.service).pool;
        pool.record_event(now, &self.grant, pause.as_secs_f64());
        Some(pause)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.release(&self.service, &self.grant, self.prompt, self.outcome);
    }
}
