//! A request's place at an endpoint.

use std::{sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::state;

/// Holds a place until it is dropped.
pub(crate) struct Slot {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    grant: gateway::Grant,
    /// The prompt's tokens, 0 once the first event has come.
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

    /// Notes how the work at the endpoint has ended.
    pub(crate) const fn set_outcome(&mut self, outcome: gateway::Outcome) {
        self.outcome = outcome;
    }

    /// Notes that something of the answer has come; returns how long it had paused.
    pub(crate) fn heard(&mut self) -> Option<time::Duration> {
        let now = self.shared.now();
        let prompt = std::mem::take(&mut self.prompt);
        let Some(last) = self.last_event.replace(now) else {
            self.shared.decide(|core| {
                let service = core.service(&self.service);
                service.pool.first(now, &self.grant, prompt);
                service.hand_out(now);
                core.report(now, &self.service);
            });
            return None;
        };
        let pause = now.since(last);
        let mut core = self.shared.core();
        let pool = &mut core.service(&self.service).pool;
        pool.event(now, &self.grant, pause.as_secs_f64());
        Some(pause)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.release(&self.service, &self.grant, self.prompt, self.outcome);
    }
}
