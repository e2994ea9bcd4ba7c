//! Handles one request: waits for a slot, sends the request and deals with failures.

mod end;
mod origin;
mod pending_send;
mod send;
mod settle;
mod slots;

pub(crate) use pending_send::{PendingSend, UNSENT};

use std::{sync, time};

use bytes::Bytes;
use hyper::body;
use trefoildyke_decide::gateway;
use trefoildyke_types::{id, time::Timestamp};

use crate::{ingress, ingress::tracked_body::track, record, relay, state, upstream};

/// The `Retry-After` for a caller that came during a stop; its next connection reaches another host.
const STOPPING_RETRY: time::Duration = time::Duration::from_millis(100);

/// An answer may be expected to take at most this share of the time left until a stop cuts off the remaining
/// requests. Callers' estimates are only right at the median, and answers are often twice as long.
const STOPPING_SHARE: f64 = 0.5;

/// Handles one admitted request.
pub(crate) struct Driver {
    pub(crate) shared: sync::Arc<state::Shared>,
    pub(crate) call: ingress::Call,
    pub(crate) access: ingress::AccessLogEntry,
    attempt: gateway::Attempt,
    tried: Vec<id::EndpointName>,
    /// The version that began the stream; `None` until it is known, or if it cannot be resumed.
    version: Option<id::VersionName>,
    /// The connection that brought the stream, until its version is certain.
    source: Option<gateway::StreamSource>,
    /// The last error answer of an endpoint, which may be forwarded.
    last_response: Option<Box<hyper::Response<ingress::Body>>>,
    /// The retry that is reserved in the retry budget and has not been sent yet.
    retry_reservation: Option<state::RetryReservation>,
}

/// What an endpoint has answered.
pub(crate) enum Received {
    /// A stream that goes on.
    Stream(Box<OpenStream>),
    /// A whole answer to this send. No byte of it has been sent to the caller.
    Whole(Box<hyper::Response<ingress::Body>>, state::SendRecord),
}

/// An open stream of events and the slot in which the request runs.
pub(crate) struct OpenStream {
    pub(crate) head: http::response::Parts,
    pub(crate) body: upstream::AnswerBody,
    /// The part of the body that was already read.
    pub(crate) first: Option<Bytes>,
    /// Whether the answer has a length or chunks; otherwise it ends with its connection.
    pub(crate) is_framed: bool,
    pub(crate) connection: upstream::Connection,
    pub(crate) slot: state::Slot,
}

/// Describes a failed send.
pub(crate) struct FailedSend {
    pub(crate) send: Box<state::SendRecord>,
    pub(crate) failure: gateway::Failure,
    pub(crate) detail: String,
    /// The endpoint's own error answer, which may be forwarded.
    pub(crate) response: Option<Box<hyper::Response<ingress::Body>>>,
    /// Whether the final answer is due.
    pub(crate) is_late: bool,
}

impl FailedSend {
    pub(crate) fn new(
        send: &state::SendRecord,
        failure: gateway::Failure,
        detail: impl Into<String>,
    ) -> Self {
        let (send, detail) = (Box::new(send.clone()), detail.into());
        Self { send, failure, detail, response: None, is_late: false }
    }

    /// Describes a send whose answer has not come by the time at which the final answer is due.
    pub(crate) fn late(send: &state::SendRecord) -> Self {
        let failed = Self::new(send, gateway::Failure::Lost, "the time was up");
        Self { is_late: true, ..failed }
    }
}

impl OpenStream {
    /// Returns the connection that brings the stream.
    pub(crate) fn source(&self) -> gateway::StreamSource {
        let endpoint = self.slot.grant().endpoint.clone();
        gateway::StreamSource { endpoint, opened_at: self.connection.opened_at }
    }

    /// Returns the next part of the stream; `None` at its end. It can be dropped before it returns.
    pub(crate) async fn next_part(&mut self) -> Option<hyper::Result<Bytes>> {
        match self.first.take() {
            Some(first) => Some(Ok(first)),
            None => upstream::next_part(&mut self.body).await,
        }
    }
}

/// The reason why a request got no slot, and after how long its caller should retry.
#[derive(Clone, Copy, Debug)]
pub(crate) enum NoSlot {
    /// It would wait too long.
    Overload(time::Duration),
    /// The request crashes endpoints.
    Quarantined(time::Duration),
    /// The retry budget has shrunk while the request waited.
    NoRetry(time::Duration),
    /// A stop that is in progress would cut the answer off.
    Stopping,
}

/// Answers one request. The body is read only as far as the answer depends on it.
pub(crate) async fn handle(
    shared: sync::Arc<state::Shared>,
    connection: sync::Arc<ingress::CallerConnection>,
    head: http::request::Parts,
    body: &mut body::Incoming,
) -> hyper::Response<ingress::Body> {
    let mut access =
        ingress::AccessLogEntry::new(sync::Arc::clone(&shared), connection, &head.headers);
    let Some(pass) = shared.gate.enter() else {
        return refuse(access, ingress::Reply::not_run("stopping", STOPPING_RETRY).closing());
    };
    access.hold(pass);
    match ingress::Call::read(&shared, &mut access, &head, body).await {
        Ok(call) => Driver::new(shared, call, access).run().await,
        Err(reply) => refuse(access, reply),
    }
}

fn refuse(
    mut access: ingress::AccessLogEntry,
    reply: ingress::Reply,
) -> hyper::Response<ingress::Body> {
    access.set_refusal(reply.reason, reply.status.as_u16(), reply.retry_after);
    track(access, reply.response())
}

impl Driver {
    fn new(
        shared: sync::Arc<state::Shared>,
        call: ingress::Call,
        access: ingress::AccessLogEntry,
    ) -> Self {
        let is_idempotent = call.kind.is_idempotent();
        let policy = if is_idempotent {
            gateway::RetryPolicy::Idempotent
        } else {
            gateway::RetryPolicy::Never
        };
        let attempt = gateway::Attempt::new(policy, call.attempts);
        Self {
            shared,
            call,
            access,
            attempt,
            tried: Vec::new(),
            version: None,
            source: None,
            last_response: None,
            retry_reservation: None,
        }
    }

    async fn run(mut self) -> hyper::Response<ingress::Body> {
        if self.outlasts_stop() {
            self.refund();
            let reply = ingress::Reply::not_run("stopping", STOPPING_RETRY).closing();
            return refuse(self.access, reply);
        }
        if let Err(reply) = self.find_version().await {
            self.refund();
            return refuse(self.access, reply);
        }
        let now = self.shared.now();
        self.shared.core().service(&self.call.service).budget.request(now);
        loop {
            let shared = sync::Arc::clone(&self.shared);
            let attempted = tokio::select! {
                attempted = self.try_once() => attempted,
                () = shared.stop_due() => return self.finish_at_stop(),
            };
            let failed = match attempted {
                Ok(Ok(Received::Stream(stream))) => return relay::stream(self, *stream),
                Ok(Ok(Received::Whole(response, _))) => return self.forward(*response),
                Ok(Err(failed)) => failed,
                Err(no_slot) => return self.finish_without_slot(no_slot),
            };
            let is_late = failed.is_late;
            match self.handle_failure(failed) {
                gateway::RetryAction::Again => {}
                next => return self.finish(next, is_late),
            }
        }
    }

    /// Waits for a slot and sends the request once.
    async fn try_once(&mut self) -> Result<Result<Received, FailedSend>, NoSlot> {
        let slot = self.acquire_slot().await?;
        Ok(self.send(slot, None).await)
    }

    fn forward(
        mut self,
        response: hyper::Response<ingress::Body>,
    ) -> hyper::Response<ingress::Body> {
        self.access.begin_answer(response.status().as_u16());
        self.access.set_outcome("served", record::EndedBy::Endpoint);
        track(self.access, response)
    }

    /// Returns whether a stop in progress would cut the answer off; another host can finish it.
    fn outlasts_stop(&self) -> bool {
        let Some(left) = self.shared.time_to_stop() else { return false };
        let mut core = self.shared.core();
        let pool = &core.service(&self.call.service).pool;
        pool.expected_time(self.call.prompt, self.call.expected) > left.mul_f64(STOPPING_SHARE)
    }

    /// Waits for a slot.
    pub(crate) async fn acquire_slot(&mut self) -> Result<state::Slot, NoSlot> {
        let slot = self.find_slot().await;
        if let Err(no_slot) = &slot {
            self.record_refused_resend(*no_slot);
        }
        slot
    }

    fn record_refused_resend(&self, no_slot: NoSlot) {
        let Some(last) = self.tried.last() else { return };
        let (reason, after) = match no_slot {
            NoSlot::Overload(after) => ("overload", after),
            NoSlot::Quarantined(after) => (ingress::QUARANTINED, after),
            NoSlot::NoRetry(after) => ("retry_budget", after),
            NoSlot::Stopping => ("stopping", STOPPING_RETRY),
        };
        self.shared.journal.write(&record::Event::ResendRefused {
            id: self.call.id.clone(),
            endpoint: last.clone(),
            reason,
            retry_ms: after.as_millis() as u64,
        });
    }

    fn check_quarantine(&self) -> Result<(), NoSlot> {
        let left = self.shared.quarantined_for(self.call.fingerprint);
        let left = left.or_else(|| self.shared.parts_quarantined_for(&self.call.shared_parts));
        left.map_or(Ok(()), |left| Err(NoSlot::Quarantined(left)))
    }

    pub(super) fn retry_hint(&self) -> time::Duration {
        let now = self.shared.now();
        self.shared.core().service(&self.call.service).pool.retry_hint(now, self.call.rank)
    }

    fn record_send(&mut self, slot: &state::Slot, asked: Timestamp) {
        let grant = slot.grant();
        self.attempt.sent();
        self.access.record_send(&grant.endpoint);
        self.tried.push(grant.endpoint.clone());
        let waited = slot.send().sent_at.since(asked).as_millis() as u64;
        self.shared.metrics.sent(waited);
        self.shared.journal.write(&record::Event::Sent {
            id: self.call.id.clone(),
            endpoint: grant.endpoint.clone(),
            send: self.access.sends(),
            unread: grant.prompt,
            waited_ms: waited,
            first_ms: grant.first_ms,
            beside: grant.running,
            age_ms: grant.age_ms,
        });
    }

    /// Records that a part of a stream has arrived.
    ///
    /// A part of the prompt that crashes endpoints does so when the endpoint begins to write the answer, so
    /// an answer that has been going on for a while shows that its parts are harmless.
    pub(crate) fn record_progress(&self, slot: &mut state::Slot) {
        let start_time = self.shared.settings.part_quarantine.start_time;
        let began_at = slot.send().began_at;
        let has_started =
            began_at.is_some_and(|began_at| self.shared.now().since(began_at) >= start_time);
        if has_started && !slot.survived {
            self.record_survival(slot);
        }
    }

    /// Records that an endpoint has answered the request as a whole, and whether with success.
    ///
    /// An answer without framing shows nothing, since a crash of the endpoint may have ended it.
    pub(crate) fn record_completion(
        &self,
        slot: &mut state::Slot,
        is_framed: bool,
        is_success: bool,
    ) {
        if !is_framed {
            return;
        }
        self.shared.record_completion(self.call.fingerprint);
        if is_success && !slot.survived {
            self.record_survival(slot);
        }
    }

    fn record_survival(&self, slot: &mut state::Slot) {
        slot.survived = true;
        if !self.call.shared_parts.is_empty() {
            self.shared.record_part_survival(&self.call.shared_parts, slot.send().sent_at);
        }
    }

    /// Returns whether the request may be sent again, and reserves a retry for that.
    pub(crate) fn reserve_resend(&mut self) -> bool {
        self.may_send_again() && self.reserve_retry()
    }

    /// Returns whether there is an endpoint to which the request was not sent yet. If not, a late answer is
    /// waited for, as nothing could replace it.
    pub(crate) fn has_untried_endpoint(&self) -> bool {
        let now = self.shared.now();
        let mut core = self.shared.core();
        core.service(&self.call.service).pool.has_untried(now, &self.tried, self.version.as_ref())
    }

    /// Gives back a retry that was reserved and is not needed.
    pub(crate) fn release_retry(&mut self) {
        self.retry_reservation = None;
    }

    pub(super) fn reserve_retry(&mut self) -> bool {
        self.retry_reservation = state::RetryReservation::take(&self.shared, &self.call.service);
        self.retry_reservation.is_some()
    }

    /// Redeems the retry that is reserved, if any; returns whether the request may still be sent.
    pub(super) fn redeem_retry(&mut self) -> bool {
        self.retry_reservation.take().is_none_or(state::RetryReservation::redeem)
    }

    pub(super) fn retry_usage(&self) -> gateway::RetryUsage {
        let now = self.shared.now();
        let mut core = self.shared.core();
        let share = core.mesh.equal_share(now);
        core.service(&self.call.service).budget.usage(now, share)
    }
}
