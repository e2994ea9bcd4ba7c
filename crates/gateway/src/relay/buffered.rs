//! Forwards answers that are not streams.

use http_body_util::{BodyExt as _, Limited};
use trefoildyke_decide::gateway;

use crate::{ingress, upstream};

/// The largest answer that is buffered, in bytes; twice the default limit on callers' bodies.
const MAX_ANSWER: usize = 8 << 20;

/// Reads an answer as a whole and returns it.
///
/// No byte of an answer that breaks off has been sent to the caller, so the request can still be repeated
/// where that is allowed.
pub(crate) async fn buffered(
    driver: &mut ingress::Driver,
    answered: ingress::OpenAnswer,
) -> Result<hyper::Response<ingress::Body>, ingress::FailedSend> {
    let ingress::OpenAnswer { answer, mut slot } = answered;
    let (head, body) = answer.response.into_parts();
    let left = driver.call.answer_due.since(driver.shared.now());
    let body = Limited::new(body, MAX_ANSWER);
    let body = match tokio::time::timeout(left, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            slot.set_outcome(gateway::Outcome::Lost);
            let classified = error.downcast_ref().map(upstream::classify_error);
            let failure = classified.unwrap_or(gateway::Failure::Lost);
            return Err(ingress::FailedSend::new(failure, error.to_string()));
        }
        Err(_) => {
            let failed = ingress::FailedSend::new(gateway::Failure::Lost, "the time was up");
            return Err(ingress::FailedSend { is_late: true, ..failed });
        }
    };
    slot.record_part();
    driver.record_completion(head.status.is_success());
    driver.shared.keep_idle(&driver.call.service, &slot.grant().endpoint, answer.connection);
    let is_failure = head.status.is_server_error();
    slot.set_outcome(if is_failure { gateway::Outcome::Failed } else { gateway::Outcome::Served });
    let body = ingress::full(body);
    let response = ingress::response_head(&driver.shared, head.headers, head.status, body);
    if is_failure {
        let detail = format!("answered {}", head.status.as_u16());
        let failed = ingress::FailedSend::new(gateway::Failure::Failed, detail);
        return Err(ingress::FailedSend { response: Some(Box::new(response)), ..failed });
    }
    driver.access.begin_answer(head.status.as_u16());
    driver.access.set_outcome("served");
    Ok(response)
}
