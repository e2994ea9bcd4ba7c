//! Passing on answers that are no streams.

use http_body_util::{BodyExt as _, Limited};
use trefoildyke_decide::gateway;

use crate::{face, upstream};

/// The largest answer that is read as a whole, in bytes; twice the largest body that callers may
/// send by default.
const LARGEST: usize = 8 << 20;

/// Reads an answer as a whole and returns it.
///
/// An answer that breaks off on the way is never begun at the caller, so the request can still be
/// repeated where that is allowed.
pub(crate) async fn whole(
    driver: &mut face::Driver,
    answered: face::Answered,
) -> Result<hyper::Response<face::Body>, face::Failed> {
    let face::Answered { answer, mut slot } = answered;
    let (head, body) = answer.response.into_parts();
    let left = driver.call.give_up.since(driver.shared.now());
    let body = Limited::new(body, LARGEST);
    let body = match tokio::time::timeout(left, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            slot.set_outcome(gateway::Outcome::Lost);
            let broken = error.downcast_ref().map(upstream::broken);
            let failure = broken.unwrap_or(gateway::Failure::Lost);
            return Err(face::Failed::new(failure, error.to_string()));
        }
        Err(_) => {
            let failed = face::Failed::new(gateway::Failure::Lost, "the time was up");
            return Err(face::Failed { is_late: true, ..failed });
        }
    };
    slot.heard();
    driver.shared.survived(driver.call.fingerprint);
    driver.shared.keep(&driver.call.service, &slot.grant().endpoint, answer.link);
    let is_failure = head.status.is_server_error();
    slot.set_outcome(if is_failure { gateway::Outcome::Failed } else { gateway::Outcome::Served });
    let body = face::full(body);
    let response = face::response_head(&driver.shared, head.headers, head.status, body);
    if is_failure {
        let detail = format!("answered {}", head.status.as_u16());
        let failed = face::Failed::new(gateway::Failure::Failed, detail);
        return Err(face::Failed { response: Some(Box::new(response)), ..failed });
    }
    driver.access.begun(head.status.as_u16());
    driver.access.ended("served");
    Ok(response)
}
