//! A slot that a request holds at an endpoint.

use std::{sync, time};

use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::state;

/// A send of a request.
#[derive(Clone, Debug)]
pub(crate) struct SendRecord {
    pub(crate) grant: gateway::Grant,
    pub(crate) sent_at: Timestamp,
    /// When the first part of the answer arrived.
    pub(crate) began_at: Option<Timestamp>,
}

/// Holds a slot until dropped.
pub(crate) struct Slot {
    shared: sync::Arc<state::Shared>,
    service: id::PoolName,
    send: SendRecord,
    /// The prompt's tokens that the endpoint has to process; 0 once the first event has come.
    prompt: u32,
    outcome: gateway::Outcome,
    last_event: Option<Timestamp>,
    /// Whether the answer has shown that the parts of the prompt do not crash endpoints.
    pub(crate) survived: bool,
}

impl Slot {
    pub(crate) fn new(
        shared: sync::Arc<state::Shared>,
        service: id::PoolName,
        grant: gateway::Grant,
    ) -> Self {
        let prompt = grant.prompt;
        let outcome = gateway::Outcome::Cancelled;
        let send = SendRecord { grant, sent_at: shared.now(), began_at: None };
        Self { shared, service, send, prompt, outcome, last_event: None, survived: false }
    }

    pub(crate) const fn service(&self) -> &id::PoolName {
        &self.service
    }

    pub(crate) const fn grant(&self) -> &gateway::Grant {
        &self.send.grant
    }

    pub(crate) const fn send(&self) -> &SendRecord {
        &self.send
    }

    /// Sets how the work at the endpoint ended.
    pub(crate) const fn set_outcome(&mut self, outcome: gateway::Outcome) {
        self.outcome = outcome;
    }

    /// Records that a part of the answer has come; returns the time since the previous part.
    pub(crate) fn record_part(&mut self) -> Option<time::Duration> {
        let now = self.shared.now();
        self.send.began_at.get_or_insert(now);
        let prompt = std::mem::take(&mut self.prompt);
        let Some(last) = self.last_event.replace(now) else {
            self.shared.update(|core| {
                let service = core.service(&self.service);
                service.pool.record_first_event(now, &self.send.grant, prompt);
                service.dispatch(now);
                core.report(now, &self.service);
            });
            return None;
        };
        let pause = now.since(last);
        let mut core = self.shared.core();
        let pool = &mut core.service(&self.service).pool;
        pool.record_event(now, &self.send.grant, pause.as_secs_f64());
        Some(pause)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.shared.release(&self.service, &self.send.grant, self.prompt, self.outcome);
    }
}
