//! Responses to operators.

use hyper::{StatusCode, header};
use trefoildyke_types::error;
use trefoildyke_wire::http;

/// The delay before a retry after a transient refusal, in seconds.
const RETRY_AFTER: header::HeaderValue = header::HeaderValue::from_static("1");

/// Returns the response with an error as its body.
pub(crate) fn error(error: &error::Error) -> hyper::Response<http::Body> {
    let status = match error.kind {
        error::ErrorKind::Invalid => StatusCode::BAD_REQUEST,
        error::ErrorKind::Unauthorized => StatusCode::UNAUTHORIZED,
        error::ErrorKind::NotFound => StatusCode::NOT_FOUND,
        error::ErrorKind::Conflict => StatusCode::CONFLICT,
        error::ErrorKind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        error::ErrorKind::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        error::ErrorKind::Unsure => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    let mut reply = http::json(status, error);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        reply.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER);
    }
    reply
}

/// Returns the response with a value as its body.
pub(crate) fn ok(content: &impl serde::Serialize) -> hyper::Response<http::Body> {
    http::json(StatusCode::OK, content)
}
