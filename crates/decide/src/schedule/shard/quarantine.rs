//! Refusal of requests under which endpoints have crashed.

use trefoildyke_types::{id, request, time::Timestamp};

use crate::{
    gateway,
    schedule::{self, permitted},
};

impl schedule::Shard {
    /// Returns the refusal of a request that is quarantined, `None` if it may run.
    pub(super) fn refuse_quarantined(
        &self,
        now: Timestamp,
        ask: &request::Ask,
    ) -> Option<schedule::Output> {
        let fingerprint = gateway::Fingerprint::from_hash(ask.fingerprint?);
        let wait = self.quarantine.quarantined_for(now, fingerprint)?;
        let refusal = request::Refusal::new(
            request::RefusalKind::NotRun,
            "quarantined",
            "endpoints were lost each time they ran this request; change it, or send it again \
             after the given time",
        );
        let refusal = refusal.retry_after(wait.as_millis() as u64);
        Some(schedule::Output::Shed { key: ask.key.clone(), refusal })
    }

    /// Records that an endpoint was lost while it ran a request.
    pub(super) fn record_crash(
        &mut self,
        now: Timestamp,
        endpoint: id::EndpointName,
        permitted: &permitted::Permitted,
    ) {
        let is_dispatched = permitted.dispatched_at().is_some();
        let Some(hash) = permitted.fingerprint.filter(|_| is_dispatched) else { return };
        let crash = gateway::Crash {
            fingerprint: gateway::Fingerprint::from_hash(hash),
            endpoint,
            start: 0,
            age_ms: 0,
            refuted: false,
        };
        self.has_new_quarantine |= !self.quarantine.learn(now, &[crash]).is_empty();
    }

    /// Records that an endpoint has completed a request, which shows that the request does not crash
    /// endpoints.
    pub(super) fn record_completion(&mut self, now: Timestamp, permitted: &permitted::Permitted) {
        if let Some(hash) = permitted.fingerprint {
            // A request that may run again is not waiting here, so the effects need no action.
            let _ = self.quarantine.record_completion(now, gateway::Fingerprint::from_hash(hash));
        }
    }

    /// Refuses the waiting requests that have been quarantined since the last call.
    pub(super) fn shed_quarantined(&mut self, now: Timestamp, outputs: &mut Vec<schedule::Output>) {
        if !std::mem::take(&mut self.has_new_quarantine) {
            return;
        }
        let refused = self.queue.asks().filter_map(|(number, ask)| {
            self.refuse_quarantined(now, ask).map(|refusal| (number, refusal))
        });
        for (number, refusal) in refused.collect::<Vec<_>>() {
            self.queue.take(number);
            outputs.push(refusal);
        }
    }
}
