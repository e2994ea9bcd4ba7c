//! What follows a failed send, and the gateway's own final answers.

use std::time;

use hyper::StatusCode;
use trefoildyke_decide::gateway;

use crate::{
    face,
    face::{
        Driver, Failed,
        driver::{Unplaced, refuse},
    },
    record,
};

/// The part of the time left for which a caller that was refused stays away. Callers follow a
/// longer Retry-After only up to a third of it.
const AWAY_PART: std::ops::Range<f64> = 0.24..0.32;

impl Driver {
    /// Decides and logs what follows a failed send.
    pub(crate) fn next(&mut self, failed: &Failed) -> gateway::Next {
        // Endpoint after endpoint is lost to a request that ends them unless all daemons learn of each end.
        if failed.failure == gateway::Failure::Cut
            && let Some(grant) = &self.grant
        {
            self.shared.cut_off(self.call.fingerprint, grant);
        }
        let mut attempt = self.attempt.clone();
        let is_open = !failed.is_late && self.shared.now() < self.call.give_up;
        let may_repeat = || is_open && (failed.is_paid || self.take_budget());
        let next = attempt.failed(failed.failure, may_repeat);
        self.attempt = attempt;
        let kind = match failed.failure {
            gateway::Failure::NotSent => "not_sent",
            gateway::Failure::Rejected => "rejected",
            gateway::Failure::Cut => "cut",
            gateway::Failure::Lost => "lost",
            gateway::Failure::Failed => "failed",
        };
        self.shared.metrics.failed(kind);
        let usage = self.retry_usage();
        self.shared.journal.write(&record::Event::SendFailed {
            id: self.call.id.clone(),
            fingerprint: self.call.fingerprint,
            endpoint: self.grant.as_ref().map_or_else(|| "".into(), |grant| grant.endpoint.clone()),
            after_ms: self.shared.now().since(self.sent).as_millis() as u64,
            failure: failed.failure,
            ends: self.shared.core().quarantine.ends(self.shared.now(), self.call.fingerprint),
            detail: failed.detail.clone(),
            next,
            repeats: usage.repeats,
            repeat_limit: usage.limit,
        });
        next
    }

    /// Answers a request for which nothing more is done.
    pub(super) fn finish(
        mut self,
        next: gateway::Next,
        failed: &Failed,
        last: Option<Box<hyper::Response<face::Body>>>,
    ) -> hyper::Response<face::Body> {
        if next == gateway::Next::NotRun {
            self.refund();
            let reply = face::Reply::not_run("not_sent", self.retry_hint());
            return refuse(&mut self.access, reply);
        }
        if let Some(response) = last {
            self.access.begun(response.status().as_u16());
            self.access.ended("endpoint_failed");
            return *response;
        }
        let reply = if failed.is_late {
            face::Reply::new(StatusCode::GATEWAY_TIMEOUT, "timeout")
        } else {
            face::Reply::new(StatusCode::BAD_GATEWAY, "answer_lost")
        };
        refuse(&mut self.access, reply)
    }

    /// Answers a request that got no place.
    pub(super) fn unplaced(
        mut self,
        last: Option<Box<hyper::Response<face::Body>>>,
        unplaced: Unplaced,
    ) -> hyper::Response<face::Body> {
        if let Some(response) = last {
            self.access.begun(response.status().as_u16());
            self.access.ended("endpoint_failed");
            return *response;
        }
        if self.attempt.may_have_run() {
            let reply = face::Reply::new(StatusCode::BAD_GATEWAY, "answer_lost");
            return refuse(&mut self.access, reply);
        }
        self.refund();
        let reply = match unplaced {
            Unplaced::Overload(after) => face::Reply::not_run("overload", after.max(self.spread())),
            Unplaced::Quarantined(after) => face::Reply::not_run(face::QUARANTINED, after),
        };
        refuse(&mut self.access, reply)
    }

    /// Returns the part of its time that a caller stays away after a refusal.
    ///
    /// Its objective cannot be met any more, so what counts is that it is served when it comes
    /// back, once: bursts last a few seconds, and those refused together must not return together.
    fn spread(&self) -> time::Duration {
        let left = self.call.deadline.since(self.shared.now());
        left.mul_f64(rand::random_range(AWAY_PART))
    }

    /// Gives back what a request that has not run took from its account's quota.
    pub(super) fn refund(&mut self) {
        if let Some(payment) = self.call.payment.take() {
            payment.refund(&self.shared);
        }
    }
}
