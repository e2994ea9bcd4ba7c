//! Ends the wait for the answer to a send.

use bytes::Bytes;
use trefoildyke_decide::gateway;

use crate::{
    ingress::{
        self, Driver, FailedSend, OpenStream, Received,
        driver::pending_send::{Answer, ReadBody},
    },
    state, upstream,
};

impl Driver {
    /// Takes over the answer of an endpoint, or describes why there is none that may be passed on.
    pub(crate) fn settle(
        &mut self,
        mut slot: state::Slot,
        answer: Result<Answer, upstream::SendError>,
    ) -> Result<Received, FailedSend> {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                slot.set_outcome(error.outcome);
                return Err(FailedSend::new(slot.send(), error.failure, error.detail));
            }
        };
        let Answer { head, body, connection, is_framed } = answer;
        match body {
            ReadBody::Stream { body, first } => {
                self.access.set_answer(&slot.grant().endpoint, is_framed);
                let opened = OpenStream { head, body, first, is_framed, connection, slot };
                Ok(Received::Stream(Box::new(opened)))
            }
            ReadBody::Whole(body, reservation) => {
                self.access.keep_memory(reservation);
                self.record_completion(&mut slot, is_framed, head.status.is_success());
                let endpoint = &slot.grant().endpoint;
                self.shared.keep_idle(&self.call.service, endpoint, connection);
                let settled = self.settle_whole(&mut slot, head, body);
                if settled.is_ok() {
                    self.access.set_answer(&slot.grant().endpoint, is_framed);
                }
                settled
            }
        }
    }

    fn settle_whole(
        &self,
        slot: &mut state::Slot,
        head: http::response::Parts,
        body: Bytes,
    ) -> Result<Received, FailedSend> {
        slot.record_part();
        let body = ingress::full(body);
        let response = ingress::response_head(head.headers, head.status, body);
        if !head.status.is_server_error() {
            slot.set_outcome(gateway::Outcome::Served);
            return Ok(Received::Whole(Box::new(response), slot.send().clone()));
        }
        slot.set_outcome(gateway::Outcome::Failed);
        let detail = format!("answered {}", head.status.as_u16());
        let failed = FailedSend::new(slot.send(), gateway::Failure::Failed, detail);
        Err(FailedSend { response: Some(Box::new(response)), ..failed })
    }

    /// Leaves an endpoint without an answer because another one has answered.
    pub(crate) fn abandon(&self, mut slot: state::Slot, reason: &str) {
        slot.set_outcome(gateway::Outcome::Lost);
        let failed = FailedSend::new(slot.send(), gateway::Failure::Lost, reason);
        self.record_failure(&failed, gateway::RetryAction::Again);
    }

    /// Records that a send beside a late one is not needed any more.
    pub(crate) fn record_withdrawal(&self, slot: &state::Slot) {
        let reason = "the earlier endpoint goes on";
        let failed = FailedSend::new(slot.send(), gateway::Failure::Lost, reason);
        self.record_failure(&failed, gateway::RetryAction::Wait);
    }
}
