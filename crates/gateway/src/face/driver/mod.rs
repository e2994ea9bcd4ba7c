//! Carrying one request through: waiting, sending, and what follows a failure.

mod end;
mod send;

use std::{sync, time};

use hyper::body;
use trefoildyke_decide::gateway;
use trefoildyke_kernel as kernel;
use trefoildyke_types::{id, time::Timestamp};

use crate::{face, placing, record, relay, state, upstream};

/// The part of the time until its caller leaves that a request waits for a slot; then the caller is
/// asked to come back after the burst.
const WAIT_PART: f64 = 0.75;

/// The same for a caller that will not come back: only the time for the first event is kept.
const LAST_WAIT_PART: f64 = 0.92;

/// How long a caller is asked to stay away that came during a stop; its next connection reaches
/// another host.
const STOPPING: time::Duration = time::Duration::from_millis(100);

/// The part of the time until a stop cuts off what runs that the expected answer may fill. Callers'
/// estimates are right at the median only, and answers often twice as long.
const STOPPING_PART: f64 = 0.5;

/// Carries one admitted request.
pub(crate) struct Driver {
    pub(crate) shared: sync::Arc<state::Shared>,
    pub(crate) call: face::Call,
    pub(crate) access: face::AccessEntry,
    attempt: gateway::Attempt,
    tried: Vec<id::EndpointName>,
    /// Where it was sent last.
    grant: Option<gateway::Grant>,
    /// When it was sent last.
    sent: Timestamp,
    /// The repeat that was taken from the retry budget and is not sent yet.
    paid_repeat: Option<state::PaidRepeat>,
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

/// Says why a request got no place, and after how long its caller should come back.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Unplaced {
    /// It would wait too long.
    Overload(time::Duration),
    /// It ends endpoints.
    Quarantined(time::Duration),
}

/// Answers one request.
pub(crate) async fn handle(
    shared: sync::Arc<state::Shared>,
    request: hyper::Request<body::Incoming>,
) -> hyper::Response<face::Body> {
    let mut access = face::AccessEntry::new(sync::Arc::clone(&shared), request.headers());
    let Some(pass) = shared.gate.enter() else {
        return refuse(&mut access, face::Reply::not_run("stopping", STOPPING).closing());
    };
    match face::Call::read(&shared, &mut access, request).await {
        Ok(call) => Driver::new(shared, call, access, pass).run().await,
        Err(reply) => refuse(&mut access, reply),
    }
}

fn refuse(access: &mut face::AccessEntry, reply: face::Reply) -> hyper::Response<face::Body> {
    access.refused(reply.reason, reply.status.as_u16(), reply.retry_after);
    reply.response()
}

impl Driver {
    fn new(
        shared: sync::Arc<state::Shared>,
        call: face::Call,
        access: face::AccessEntry,
        pass: kernel::Pass,
    ) -> Self {
        let is_idempotent = call.kind.is_idempotent();
        let repeat =
            if is_idempotent { gateway::Repeat::Idempotent } else { gateway::Repeat::Never };
        let attempt = gateway::Attempt::new(repeat, call.attempts);
        let sent = shared.now();
        Self {
            shared,
            call,
            access,
            attempt,
            tried: Vec::new(),
            grant: None,
            sent,
            paid_repeat: None,
            _pass: pass,
        }
    }

    async fn run(mut self) -> hyper::Response<face::Body> {
        if self.outlasts_stop() {
            self.refund();
            let reply = face::Reply::not_run("stopping", STOPPING).closing();
            return refuse(&mut self.access, reply);
        }
        let now = self.shared.now();
        self.shared.core().service(&self.call.service).budget.request(now);
        let mut last = None;
        loop {
            let slot = match self.place().await {
                Ok(slot) => slot,
                Err(unplaced) => return self.unplaced(last, unplaced),
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

    /// Says whether a stop that has begun would cut the answer off; at another host it can end.
    fn outlasts_stop(&self) -> bool {
        let Some(left) = self.shared.left_to_stop() else { return false };
        let mut core = self.shared.core();
        let pool = &core.service(&self.call.service).pool;
        pool.expected_time(self.call.prompt, self.call.expected) > left.mul_f64(STOPPING_PART)
    }

    fn is_stream(&self, answered: &Answered) -> bool {
        self.call.kind.is_stream() && answered.answer.response.status().is_success()
    }

    /// Waits for a place.
    pub(crate) async fn place(&mut self) -> Result<state::Slot, Unplaced> {
        self.check_quarantine()?;
        let now = self.shared.now();
        let service = self.call.service.clone();
        let part = if self.call.returning { LAST_WAIT_PART } else { WAIT_PART };
        let end = tokio::time::Instant::now() + self.call.leaves.since(now).mul_f64(part);
        let placement = placing::place(&self.shared, &service, self.demand(), end).await;
        self.access.decided_by(placement.placer);
        let grant = placement.result.map_err(Unplaced::Overload)?;
        let shared = sync::Arc::clone(&self.shared);
        let mut slot = state::Slot::new(shared, service, grant);
        // Endpoints may have ended under others like it while it waited.
        if let Err(unplaced) = self.check_quarantine() {
            slot.set_outcome(gateway::Outcome::Unused);
            return Err(unplaced);
        }
        self.note_sent(&slot, now);
        Ok(slot)
    }

    fn check_quarantine(&self) -> Result<(), Unplaced> {
        self.shared
            .held(self.call.fingerprint)
            .map_or(Ok(()), |left| Err(Unplaced::Quarantined(left)))
    }

    fn demand(&self) -> gateway::Demand {
        gateway::Demand {
            rank: self.call.rank,
            route: self.call.route,
            zone: self.shared.settings.zone.clone(),
            prompt: self.call.prompt,
            parts: self.call.parts.clone(),
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

    pub(super) fn retry_hint(&self) -> time::Duration {
        let now = self.shared.now();
        self.shared.core().service(&self.call.service).pool.retry_hint(now, self.call.rank)
    }

    fn note_sent(&mut self, slot: &state::Slot, asked: Timestamp) {
        let grant = slot.grant();
        self.attempt.sent();
        if let Some(paid_repeat) = self.paid_repeat.take() {
            paid_repeat.sent();
        }
        self.sent = self.shared.now();
        self.access.sent(&grant.endpoint);
        self.tried.push(grant.endpoint.clone());
        self.grant = Some(grant.clone());
        let waited = self.sent.since(asked).as_millis() as u64;
        self.shared.metrics.sent(waited);
        self.shared.journal.write(&record::Event::Sent {
            id: self.call.id.clone(),
            endpoint: grant.endpoint.clone(),
            send: self.access.sends(),
            unread: grant.prompt,
            waited_ms: waited,
            first_ms: grant.first_ms,
            beside: grant.beside,
            age_ms: grant.age_ms,
        });
    }

    /// Says whether the request may be sent once more, and takes that from the retry budget.
    pub(crate) fn pay_repeat(&mut self) -> bool {
        self.may_send_again() && self.take_budget()
    }

    pub(super) fn take_budget(&mut self) -> bool {
        self.paid_repeat = state::PaidRepeat::take(&self.shared, &self.call.service);
        self.paid_repeat.is_some()
    }

    pub(super) fn retry_usage(&self) -> gateway::RetryUsage {
        let now = self.shared.now();
        let mut core = self.shared.core();
        let share = core.mesh.equal_share(now);
        core.service(&self.call.service).budget.usage(now, share)
    }
}
