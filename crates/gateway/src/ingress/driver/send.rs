//! Sends a request to the endpoint of its slot.

use std::sync;

use hyper::header;
use trefoildyke_decide::gateway;

use crate::{
    ingress::{Driver, FailedSend, OpenAnswer},
    state, upstream,
};

/// The share of the time left after which an idempotent request without an answer is sent again.
const RESEND_SHARE: f64 = 0.45;

impl Driver {
    /// Sends the request to the endpoint of `slot` and waits for the head of the answer.
    ///
    /// `after` is the id of the last stream event that was received.
    pub(crate) async fn send(
        &mut self,
        mut slot: state::Slot,
        after: Option<&str>,
    ) -> Result<OpenAnswer, FailedSend> {
        let request = self.request(&slot, after);
        let shared = sync::Arc::clone(&self.shared);
        let id = self.call.id.clone();
        let grant = slot.grant().clone();
        let service = self.call.service.clone();
        let sending = async {
            let on_rate_limit = |limit| shared.note_rate_limit(&service, &grant, limit);
            upstream::send(&shared, &grant, &id, &request, on_rate_limit).await
        };
        let mut sending = std::pin::pin!(sending);
        let left = self.call.answer_due.since(self.shared.now());
        let end = tokio::time::Instant::now() + left;
        let patience = tokio::time::Instant::now() + left.mul_f64(RESEND_SHARE);
        if self.may_send_again() {
            tokio::select! {
                sent = &mut sending => return self.attach_slot(sent, slot),
                () = tokio::time::sleep_until(patience) => {}
            }
            if self.has_untried_endpoint() && self.reserve_resend() {
                slot.set_outcome(gateway::Outcome::Lost);
                let failed = FailedSend::new(gateway::Failure::Lost, "no answer for too long");
                return Err(FailedSend { is_reserved: true, ..failed });
            }
        }
        match tokio::time::timeout_at(end, sending).await {
            Ok(sent) => self.attach_slot(sent, slot),
            Err(_) => {
                let failed = FailedSend::new(gateway::Failure::Lost, "the time was up");
                Err(FailedSend { is_late: true, ..failed })
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

    pub(super) fn may_send_again(&self) -> bool {
        self.call.kind.is_idempotent() && self.access.sends() < self.call.attempts
    }

    fn attach_slot(
        &mut self,
        sent: Result<upstream::Answer, upstream::SendError>,
        mut slot: state::Slot,
    ) -> Result<OpenAnswer, FailedSend> {
        match sent {
            Ok(answer) => {
                self.access.set_unframed(!answer.is_framed());
                Ok(OpenAnswer { answer, slot })
            }
            Err(error) => {
                slot.set_outcome(error.outcome);
                Err(FailedSend::new(error.failure, error.detail))
            }
        }
    }
}
