//! Finds a slot for a request.

use std::sync;

use trefoildyke_decide::gateway;

use crate::{
    ingress::{Driver, driver::NoSlot},
    placing, state,
};

/// The share of the time until its caller leaves for which a request waits for a slot; after that, the caller
/// is asked to retry after the burst.
const WAIT_SHARE: f64 = 0.75;

/// The same share for a caller that will not retry; the rest is left for the first event.
const LAST_WAIT_SHARE: f64 = 0.92;

impl Driver {
    /// Waits for a slot without logging a refusal.
    pub(super) async fn find_slot(&mut self) -> Result<state::Slot, NoSlot> {
        self.check_quarantine()?;
        let now = self.shared.now();
        let service = self.call.service.clone();
        let share = if self.call.returning { LAST_WAIT_SHARE } else { WAIT_SHARE };
        let end = tokio::time::Instant::now() + self.call.leaves_at.since(now).mul_f64(share);
        let placement = placing::place(&self.shared, &service, self.pool_request(), end).await;
        self.access.set_placer(placement.placer);
        let grant = placement.result.map_err(NoSlot::Overload)?;
        let shared = sync::Arc::clone(&self.shared);
        let mut slot = state::Slot::new(shared, service, grant);
        // While this request waited, endpoints may have crashed under identical requests.
        if let Err(no_slot) = self.check_quarantine() {
            slot.set_outcome(gateway::Outcome::Unused);
            return Err(no_slot);
        }
        // The request may have waited for most of a stop.
        if self.tried.is_empty() && self.outlasts_stop() {
            slot.set_outcome(gateway::Outcome::Unused);
            return Err(NoSlot::Stopping);
        }
        if !self.redeem_retry() {
            slot.set_outcome(gateway::Outcome::Unused);
            return Err(NoSlot::NoRetry(self.retry_hint()));
        }
        self.record_send(&slot, now);
        Ok(slot)
    }

    fn pool_request(&self) -> gateway::PoolRequest {
        gateway::PoolRequest {
            rank: self.call.rank,
            route: self.call.route,
            zone: self.shared.settings.zone.clone(),
            prompt: self.call.prompt,
            parts: self.call.parts.clone(),
            expected_tokens: self.call.expected,
            max_pause: self.call.max_pause,
            objective: self.call.objective,
            leaves_at: self.call.leaves_at,
            deadline: self.call.answer_due,
            returning: self.call.returning,
            repeatable: self.call.kind.is_idempotent(),
            tried: self.tried.clone(),
            version: self.version.clone(),
        }
    }

    /// Records that an event was forwarded: the caller's patience starts anew.
    pub(crate) fn record_forwarded(&mut self) {
        let Some(patience) = self.call.patience else { return };
        self.call.leaves_at = (self.shared.now() + patience).min(self.call.answer_due);
    }
}
