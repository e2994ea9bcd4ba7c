//! Handling of failed sends, and the final answers that the gateway makes itself.

use std::time;

use hyper::StatusCode;
use trefoildyke_decide::gateway;

use crate::{
    ingress,
    ingress::{
        Driver, FailedSend,
        driver::{NoSlot, STOPPING_RETRY, refuse},
        tracked_body::track,
    },
    record, state,
};

/// The share of the time left for which a refused caller is asked to wait before it retries. Callers obey a
/// `Retry-After` only up to a third of their time left.
const RETRY_SHARE: std::ops::Range<f64> = 0.24..0.32;

/// Forwards an endpoint's own error answer.
fn forward_failure(
    mut access: ingress::AccessLogEntry,
    response: hyper::Response<ingress::Body>,
) -> hyper::Response<ingress::Body> {
    access.begin_answer(response.status().as_u16());
    access.set_outcome("endpoint_failed", record::EndedBy::Endpoint);
    track(access, response)
}

impl Driver {
    /// Decides and logs what follows a failed send.
    pub(crate) fn handle_failure(&mut self, failed: FailedSend) -> gateway::RetryAction {
        let mut attempt = self.attempt.clone();
        let next = attempt.failed(failed.failure, || self.may_repeat(&failed));
        self.attempt = attempt;
        self.conclude(failed, next)
    }

    /// Decides and logs what follows a failed send while another send is in progress.
    pub(crate) fn handle_failure_beside(&mut self, failed: FailedSend) -> gateway::RetryAction {
        let mut attempt = self.attempt.clone();
        let next = attempt.failed_beside(failed.failure, || self.may_repeat(&failed));
        self.attempt = attempt;
        self.conclude(failed, next)
    }

    /// Records a failed send whose replacement is in progress.
    pub(crate) fn handle_replaced_failure(&mut self, failed: FailedSend) {
        let next = self.attempt.failed_beside(failed.failure, || false);
        self.conclude(failed, next);
    }

    fn may_repeat(&mut self, failed: &FailedSend) -> bool {
        let is_open = !failed.is_late && self.shared.now() < self.call.answer_due;
        is_open && self.reserve_retry()
    }

    fn conclude(&mut self, failed: FailedSend, next: gateway::RetryAction) -> gateway::RetryAction {
        self.record_crash(&failed);
        if next != gateway::RetryAction::Again {
            self.release_retry();
        }
        self.record_failure(&failed, next);
        self.last_response = failed.response.or(self.last_response.take());
        next
    }

    /// Records that an endpoint may have crashed under the request.
    ///
    /// A request that crashes endpoints takes down one endpoint after another unless all daemons learn of
    /// each crash.
    fn record_crash(&self, failed: &FailedSend) {
        if failed.failure != gateway::Failure::Cut {
            return;
        }
        let state::SendRecord { grant, sent_at, began_at } = &*failed.send;
        self.shared.record_crash(self.call.fingerprint, grant);
        self.shared.record_part_crash(&gateway::PartCut {
            request: self.call.fingerprint,
            parts: &self.call.shared_parts,
            endpoint: &grant.endpoint,
            start: grant.start,
            sent_at: *sent_at,
            began_at: *began_at,
        });
    }

    pub(super) fn record_failure(&self, failed: &FailedSend, next: gateway::RetryAction) {
        let kind = match failed.failure {
            gateway::Failure::NotSent => "not_sent",
            gateway::Failure::Rejected => "rejected",
            gateway::Failure::Cut => "cut",
            gateway::Failure::Lost => "lost",
            gateway::Failure::Failed => "failed",
        };
        self.shared.metrics.failed(kind);
        let usage = self.retry_usage();
        let now = self.shared.now();
        self.shared.journal.write(&record::Event::SendFailed {
            id: self.call.id.clone(),
            fingerprint: self.call.fingerprint,
            service: self.call.service.clone(),
            endpoint: failed.send.grant.endpoint.clone(),
            after_ms: now.since(failed.send.sent_at).as_millis() as u64,
            failure: failed.failure,
            ends: self.shared.core().quarantine.crash_count(now, self.call.fingerprint),
            parts: self.call.shared_parts.clone(),
            events: self.access.events(),
            detail: failed.detail.clone(),
            next,
            repeats: usage.retries,
            repeat_limit: usage.limit,
        });
    }

    /// Answers a request that is not sent again.
    pub(super) fn finish(
        mut self,
        next: gateway::RetryAction,
        is_late: bool,
    ) -> hyper::Response<ingress::Body> {
        if next == gateway::RetryAction::NotRun {
            self.refund();
            let reply = ingress::Reply::not_run("not_sent", self.retry_hint());
            return refuse(self.access, reply);
        }
        if let Some(response) = self.last_response.take() {
            return forward_failure(self.access, *response);
        }
        let reply = if is_late {
            ingress::Reply::new(StatusCode::GATEWAY_TIMEOUT, "timeout")
        } else {
            ingress::Reply::new(StatusCode::BAD_GATEWAY, "answer_lost")
        };
        refuse(self.access, reply)
    }

    /// Answers a request that got no slot.
    pub(super) fn finish_without_slot(mut self, no_slot: NoSlot) -> hyper::Response<ingress::Body> {
        if let Some(response) = self.last_response.take() {
            return forward_failure(self.access, *response);
        }
        if self.attempt.may_have_run() {
            let reply = ingress::Reply::new(StatusCode::BAD_GATEWAY, "answer_lost");
            return refuse(self.access, reply);
        }
        self.refund();
        let reply = match no_slot {
            NoSlot::Overload(wait) => ingress::Reply::not_run("overload", wait.max(self.jitter())),
            NoSlot::Quarantined(after) => ingress::Reply::not_run(ingress::QUARANTINED, after),
            NoSlot::NoRetry(after) => ingress::Reply::not_run("not_sent", after),
            NoSlot::Stopping => ingress::Reply::not_run("stopping", STOPPING_RETRY).closing(),
        };
        refuse(self.access, reply)
    }

    /// Answers a request that has no answer when a graceful stop is about to end.
    pub(super) fn finish_at_stop(self) -> hyper::Response<ingress::Body> {
        if !self.attempt.may_have_run() {
            return self.finish_without_slot(NoSlot::Stopping);
        }
        let reply = ingress::Reply::new(StatusCode::GATEWAY_TIMEOUT, "stopped").closing();
        refuse(self.access, reply)
    }

    /// Returns a random share of the caller's time left, as the `Retry-After` of a refusal.
    ///
    /// The latency objective is already missed, so the delay only has to make the caller's single retry
    /// succeed: bursts last a few seconds, and callers that were refused together must not return together.
    fn jitter(&self) -> time::Duration {
        let left = self.call.deadline.since(self.shared.now());
        left.mul_f64(rand::random_range(RETRY_SHARE))
    }

    /// Refunds the charge of a request that has not run.
    pub(super) fn refund(&mut self) {
        if let Some(reservation) = self.call.reservation.take() {
            reservation.refund(&self.shared);
        }
    }
}
