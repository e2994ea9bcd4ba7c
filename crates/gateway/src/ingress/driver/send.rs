//! Sends a request to the endpoint of its slot.

use std::{sync, time};

use hyper::header;
use trefoildyke_decide::gateway;

use crate::{
    ingress::{
        Driver, FailedSend, Received,
        driver::pending_send::{PendingSend, ReadMode},
    },
    state,
};

/// The share of the time left after which an idempotent request without an answer is sent again.
const RESEND_SHARE: f64 = 0.45;

/// How long the first event of a stream is waited for while another endpoint still has the request.
///
/// An endpoint may fail right after the head of its answer. A longer wait would let both endpoints work on
/// the request.
const FIRST_EVENT_WAIT: time::Duration = time::Duration::from_millis(250);

impl Driver {
    /// Sends the request to the endpoint of `slot` and waits for the answer: the head of a stream, or a whole
    /// answer.
    ///
    /// `after` is the id of the last stream event that was received.
    pub(crate) async fn send(
        &mut self,
        slot: state::Slot,
        after: Option<&str>,
    ) -> Result<Received, FailedSend> {
        let received = self.send_or_hedge(slot, after).await;
        self.check_version(received).await
    }

    async fn send_or_hedge(
        &mut self,
        slot: state::Slot,
        after: Option<&str>,
    ) -> Result<Received, FailedSend> {
        let mut pending = self.start_send(slot, after, time::Duration::ZERO);
        let left = self.call.answer_due.since(self.shared.now());
        let end = tokio::time::Instant::now() + left;
        let patience = tokio::time::Instant::now() + left.mul_f64(RESEND_SHARE);
        if self.may_send_again() {
            if let Ok(answer) = tokio::time::timeout_at(patience, pending.answer()).await {
                return self.settle(pending.slot, answer);
            }
            // An answer that is under way is not asked for twice.
            if !pending.has_begun() && self.has_untried_endpoint() && self.reserve_resend() {
                return self.hedge(pending, after, end).await;
            }
        }
        self.wait(pending, end).await
    }

    /// Sends the request to another endpoint while `first` is late, and returns the answer that comes first.
    ///
    /// Expects a retry to be reserved. The late answer stays open until the other one has come, as the other
    /// endpoint may fail, too.
    async fn hedge(
        &mut self,
        mut first: PendingSend,
        after: Option<&str>,
        end: tokio::time::Instant,
    ) -> Result<Received, FailedSend> {
        while self.has_untried_endpoint() {
            let slot = tokio::select! {
                answer = first.answer() => {
                    self.release_retry();
                    return self.settle(first.slot, answer);
                }
                slot = self.acquire_slot() => slot,
            };
            let Ok(slot) = slot else { break };
            let mut second = self.start_hedge(slot, after);
            tokio::select! {
                answer = first.answer() => match self.settle(first.slot, answer) {
                    Ok(answer) => {
                        self.record_withdrawal(&second.slot);
                        return Ok(answer);
                    }
                    Err(failed) => {
                        self.handle_replaced_failure(failed);
                        return self.wait(second, end).await;
                    }
                },
                answer = second.answer() => match self.settle(second.slot, answer) {
                    Ok(answer) => {
                        self.abandon(first.slot, "no answer for too long");
                        return Ok(answer);
                    }
                    Err(failed) => {
                        if self.handle_failure_beside(failed) != gateway::RetryAction::Again {
                            break;
                        }
                    }
                },
                () = tokio::time::sleep_until(end) => return Err(FailedSend::late(first.slot.send())),
            }
        }
        self.release_retry();
        self.wait(first, end).await
    }

    /// Waits for the answer to the only send in progress.
    pub(crate) async fn wait(
        &mut self,
        mut pending: PendingSend,
        end: tokio::time::Instant,
    ) -> Result<Received, FailedSend> {
        match tokio::time::timeout_at(end, pending.answer()).await {
            Ok(answer) => self.settle(pending.slot, answer),
            Err(_) => Err(FailedSend::late(pending.slot.send())),
        }
    }

    /// Sends the request while another endpoint still has it: a hedged request.
    pub(crate) fn start_hedge(&self, slot: state::Slot, after: Option<&str>) -> PendingSend {
        self.start_send(slot, after, FIRST_EVENT_WAIT)
    }

    fn start_send(
        &self,
        slot: state::Slot,
        after: Option<&str>,
        first_wait: time::Duration,
    ) -> PendingSend {
        let request = self.request(&slot, after);
        let mode = ReadMode { is_stream: self.call.kind.is_stream(), first_wait };
        PendingSend::start(
            sync::Arc::clone(&self.shared),
            slot,
            self.call.id.clone(),
            request,
            mode,
        )
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

    pub(super) fn may_send_again(&self) -> bool {
        self.call.kind.is_idempotent() && self.access.sends() < self.call.attempts
    }
}
