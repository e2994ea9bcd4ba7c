//! Conversion of refusals into HTTP responses.

use hyper::{StatusCode, header};
use trefoildyke_types::{error, request};
use trefoildyke_wire::http;

/// Returns the response for a refusal, with `Retry-After` rounded up to whole seconds.
pub(crate) fn refusal(refusal: &request::Refusal) -> hyper::Response<http::Body> {
    let status = match refusal.kind {
        request::RefusalKind::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        request::RefusalKind::OutcomeUnknown => StatusCode::CONFLICT,
        request::RefusalKind::Invalid => StatusCode::BAD_REQUEST,
        request::RefusalKind::Unauthorized => StatusCode::UNAUTHORIZED,
        request::RefusalKind::Failed => StatusCode::BAD_GATEWAY,
    };
    let mut response = http::json(status, refusal);
    if let Some(ms) = refusal.retry_after_ms {
        response.headers_mut().insert(header::RETRY_AFTER, ms.div_ceil(1_000).into());
    }
    response
}

/// Returns the refusal for a request body that could not be read.
pub(crate) fn body_refusal(error: &error::Error) -> request::Refusal {
    let reason = match error.kind {
        error::ErrorKind::TooLarge => "body_too_large",
        error::ErrorKind::Unavailable => "body_incomplete",
        _ => "bad_body",
    };
    request::Refusal::new(request::RefusalKind::Invalid, reason, error.to_string())
}
