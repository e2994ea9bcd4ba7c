//! The course of one request: waiting, sending, and what follows a failure.

use std::{sync, time};

use hyper::{StatusCode, body, header};
use trefoildyke_decide::gateway;
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, time::Timestamp};

use crate::{face, record, relay, state, upstream};

/// The part of the time left after which an idempotent request without an answer is sent again.
const RESEND_PART: f64 = 0.45;

/// The part of the time until its caller leaves that a request waits for a slot; then the caller is
/// asked to come back after the burst.
const WAIT_PART: f64 = 0.75;

/// The same for a caller that will not come back: only the time for the first event is kept.
const LAST_WAIT_PART: f64 = 0.92;

/// The part of the time left for which a caller that was refused stays away. Callers follow a
/// longer Retry-After only up to a third of it.
const AWAY_PART: std::ops::Range<f64> = 0.24..0.32;

/// How long a caller is asked to stay away that came during a stop; its next connection reaches
/// another host.
const STOPPING: time::Duration = time::Duration::from_millis(100);

/// Carries one admitted request.
pub(crate) struct Course {
    pub(crate) shared: sync::Arc<state::Shared>,
    pub(crate) call: face::Call,
    pub(crate) trail: face::Trail,
    attempt: gateway::Attempt,
    tried: Vec<id::EndpointName>,
    /// Holds up the end of a graceful stop.
    _pass: kernel::Pass,
}

/// Holds the head of an endpoint's answer and the place where it runs.
pub(crate) struct Answered {
    pub(crate) answer: upstream::Answer,
    pub(crate) slot: state::Slot,
}

/// Describes a failed send.
pub(crate) struct Failed {
    pub(crate) failure: gateway::Failure,
    pub(crate) detail: String,
    /// The endpoint's own failure, which may be passed on.
    pub(crate) response: Option<Box<hyper::Response<face::Body>>>,
    /// Whether the time for the final answer has come.
    pub(crate) is_late: bool,
    /// Whether the retry budget has paid for a further send.
    pub(crate) is_paid: bool,
}

impl Failed {
    pub(crate) fn new(failure: gateway::Failure, detail: impl Into<String>) -> Self {
        let detail = detail.into();
        Self { failure, detail, response: None, is_late: false, is_paid: false }
    }
}

/// Answers one request.
pub(crate) async fn handle(
    shared: sync::Arc<state::Shared>,
    request: hyper::Request<body::Incoming>,
) -> hyper::Response<face::Body> {
    let mut trail = face::Trail::new(sync::Arc::clone(&shared), request.headers());
    let Some(pass) = shared.gate.enter() else {
        return refuse(&mut trail, face::Reply::not_run("stopping", STOPPING).closing());
    };
    match face::Call::read(&shared, &mut trail, request).await {
        Ok(call) => Course::new(shared, call, trail, pass).run().await,
        Err(reply) => refuse(&mut trail, reply),
    }
}

fn refuse(trail: &mut face::Trail, reply: face::Reply) -> hyper::Response<face::Body> {
    trail.refused(reply.reason, reply.status.as_u16(), reply.retry_after);
    reply.response()
}

impl Course {
    fn new(
        shared: sync::Arc<state::Shared>,
        call: face::Call,
        trail: face::Trail,
        pass: kernel::Pass,
    ) -> Self {
        let is_idempotent = call.kind.is_idempotent();
        let repeat =
            if is_idempotent { gateway::Repeat::Idempotent } else { gateway::Repeat::Never };
        let attempt = gateway::Attempt::new(repeat, call.attempts);
        Self { shared, call, trail, attempt, tried: Vec::new(), _pass: pass }
    }

    async fn run(mut self) -> hyper::Response<face::Body> {
        let now = self.shared.now();
        self.shared.core().service(&self.call.service).budget.request(now);
        let mut last = None;
        loop {
            let slot = match self.place().await {
                Ok(slot) => slot,
                Err(after) => return self.unplaced(last, after),
            };
            let mut failed = match self.send(slot, None).await {
                Ok(answered) if self.is_stream(&answered) => return relay::stream(self, answered),
                Ok(answered) => match relay::whole(&mut self, answered).await {
                    Ok(response) => return response,
                    Err(failed) => failed,
                },
                Err(failed) => failed,
            };
            last = failed.response.take().or(last);
            match self.next(&failed) {
                gateway::Next::Again => {}
                next => return self.finish(next, &failed, last),
            }
        }
    }

    fn is_stream(&self, answered: &Answered) -> bool {
        self.call.kind.is_stream() && answered.answer.response.status().is_success()
    }

    /// Waits for a place; fails with the time after which to come back.
    pub(crate) async fn place(&mut self) -> Result<state::Slot, time::Duration> {
        let now = self.shared.now();
        let demand = self.demand();
        let asked = self.shared.core().service(&self.call.service).ask(now, demand);
        self.shared.set_changed();
        let service = self.call.service.clone();
        let grant = match asked {
            state::Asked::Granted(grant) => grant,
            state::Asked::Refused(after) => return Err(after),
            state::Asked::Queued(ticket, granted) => {
                let shared = sync::Arc::clone(&self.shared);
                let waiting = state::Waiting::new(shared, service.clone(), ticket, granted);
                let part = if self.call.returning { LAST_WAIT_PART } else { WAIT_PART };
                let limit = self.call.leaves.since(now).mul_f64(part);
                match waiting.place(limit).await {
                    Some(grant) => grant,
                    None => return Err(self.retry_hint()),
                }
            }
        };
        let shared = sync::Arc::clone(&self.shared);
        let slot = state::Slot::new(shared, service, grant);
        self.note_sent(&slot, now);
        Ok(slot)
    }

    fn demand(&self) -> gateway::Demand {
        gateway::Demand {
            rank: self.call.rank,
            prompt: self.call.prompt,
            expected: self.call.expected,
            gap: self.call.gap,
            objective: self.call.objective,
            leaves: self.call.leaves,
            deadline: self.call.give_up,
            returning: self.call.returning,
            repeatable: self.call.kind.is_idempotent(),
            tried: self.tried.clone(),
        }
    }

    fn retry_hint(&self) -> time::Duration {
        let now = self.shared.now();
        self.shared.core().service(&self.call.service).pool.retry_hint(now, self.call.rank)
    }

    fn note_sent(&mut self, slot: &state::Slot, asked: Timestamp) {
        let grant = slot.grant();
        self.attempt.sent();
        self.trail.sent(&grant.endpoint);
        self.tried.push(grant.endpoint.clone());
        let waited = self.shared.now().since(asked).as_millis() as u64;
        self.shared.metrics.sent(waited);
        self.shared.journal.write(&record::Event::Sent {
            id: self.call.id.clone(),
            endpoint: grant.endpoint.clone(),
            send: self.trail.sends(),
            waited_ms: waited,
            first_ms: grant.first_ms,
            beside: grant.beside,
            age_ms: grant.age_ms,
        });
    }

    /// Sends the request to the endpoint of `slot` and waits for the head of the answer.
    ///
    /// `after` is the last event that was received of a stream.
    pub(crate) async fn send(
        &mut self,
        mut slot: state::Slot,
        after: Option<&str>,
    ) -> Result<Answered, Failed> {
        let request = self.request(&slot, after);
        let shared = sync::Arc::clone(&self.shared);
        let id = self.call.id.clone();
        let grant = slot.grant().clone();
        let sending = async {
            let names = &shared.settings.names;
            upstream::send(&shared.links, names, &grant, &id, &request).await
        };
        let mut sending = std::pin::pin!(sending);
        let left = self.call.give_up.since(self.shared.now());
        let end = tokio::time::Instant::now() + left;
        let patience = tokio::time::Instant::now() + left.mul_f64(RESEND_PART);
        if self.may_send_again() {
            tokio::select! {
                sent = &mut sending => return judged(sent, slot),
                () = tokio::time::sleep_until(patience) => {}
            }
            if self.take_budget() {
                slot.set_outcome(gateway::Outcome::Lost);
                let failed = Failed::new(gateway::Failure::Lost, "no answer for too long");
                return Err(Failed { is_paid: true, ..failed });
            }
        }
        match tokio::time::timeout_at(end, sending).await {
            Ok(sent) => judged(sent, slot),
            Err(_) => {
                let failed = Failed::new(gateway::Failure::Lost, "the time was up");
                Err(Failed { is_late: true, ..failed })
            }
        }
    }

    fn request(
        &self,
        slot: &state::Slot,
        after: Option<&str>,
    ) -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
        let names = &self.shared.settings.names;
        let mut request = self.call.request.clone();
        let headers = request.headers_mut();
        let left = self.call.deadline.since(self.shared.now()).as_millis() as u64;
        headers.insert(names.deadline.clone(), header::HeaderValue::from(left.max(1)));
        let endpoint = header::HeaderValue::from_str(slot.grant().endpoint.as_str());
        if let Ok(endpoint) = endpoint {
            headers.insert(names.expected_endpoint.clone(), endpoint);
        }
        if let Some(Ok(after)) = after.map(header::HeaderValue::from_str) {
            headers.insert(names.last_event.clone(), after);
        }
        request
    }

    fn may_send_again(&self) -> bool {
        self.call.kind.is_idempotent() && self.trail.sends() < self.call.attempts
    }

    fn take_budget(&self) -> bool {
        let now = self.shared.now();
        let mut core = self.shared.core();
        let members = core.mesh.count();
        core.service(&self.call.service).budget.take(now, members)
    }

    /// Decides and logs what follows a failed send.
    pub(crate) fn next(&mut self, failed: &Failed) -> gateway::Next {
        let mut attempt = self.attempt.clone();
        let is_open = !failed.is_late && self.shared.now() < self.call.give_up;
        let may_repeat = || is_open && (failed.is_paid || self.take_budget());
        let next = attempt.failed(failed.failure, may_repeat);
        self.attempt = attempt;
        let kind = match failed.failure {
            gateway::Failure::NotSent => "not_sent",
            gateway::Failure::Rejected => "rejected",
            gateway::Failure::Lost => "lost",
            gateway::Failure::Failed => "failed",
        };
        self.shared.metrics.failed(kind);
        self.shared.journal.write(&record::Event::SendFailed {
            id: self.call.id.clone(),
            endpoint: self.tried.last().cloned().unwrap_or_else(|| "".into()),
            failure: failed.failure,
            detail: failed.detail.clone(),
            next,
        });
        next
    }

    /// Answers a request for which nothing more is done.
    fn finish(
        mut self,
        next: gateway::Next,
        failed: &Failed,
        last: Option<Box<hyper::Response<face::Body>>>,
    ) -> hyper::Response<face::Body> {
        if next == gateway::Next::NotRun {
            self.refund();
            let reply = face::Reply::not_run("not_sent", self.retry_hint());
            return refuse(&mut self.trail, reply);
        }
        if let Some(response) = last {
            self.trail.begun(response.status().as_u16());
            self.trail.ended("endpoint_failed");
            return *response;
        }
        let reply = if failed.is_late {
            face::Reply::new(StatusCode::GATEWAY_TIMEOUT, "timeout")
        } else {
            face::Reply::new(StatusCode::BAD_GATEWAY, "answer_lost")
        };
        refuse(&mut self.trail, reply)
    }

    /// Answers a request that got no place.
    fn unplaced(
        mut self,
        last: Option<Box<hyper::Response<face::Body>>>,
        after: time::Duration,
    ) -> hyper::Response<face::Body> {
        if let Some(response) = last {
            self.trail.begun(response.status().as_u16());
            self.trail.ended("endpoint_failed");
            return *response;
        }
        if self.attempt.may_have_run() {
            let reply = face::Reply::new(StatusCode::BAD_GATEWAY, "answer_lost");
            return refuse(&mut self.trail, reply);
        }
        self.refund();
        let after = after.max(self.spread());
        refuse(&mut self.trail, face::Reply::not_run("overload", after))
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
    fn refund(&self) {
        if let Some(account) = &self.call.account {
            let now = self.shared.now();
            self.shared.core().quota.give_back(now, account, self.call.cost);
        }
    }
}

fn judged(
    sent: Result<upstream::Answer, upstream::SendError>,
    mut slot: state::Slot,
) -> Result<Answered, Failed> {
    match sent {
        Ok(answer) => Ok(Answered { answer, slot }),
        Err(error) => {
            slot.set_outcome(error.outcome);
            Err(Failed::new(error.failure, error.detail))
        }
    }
}
