//! JSON bodies of requests and answers.

use std::time;

use http_body_util::{BodyExt as _, Limited};
use hyper::{body, header};
use trefoildyke_types::error;

use crate::http;

const JSON: header::HeaderValue = header::HeaderValue::from_static("application/json");

/// Creates an answer with a JSON body; its status is 500 if `content` cannot be encoded.
pub fn json(
    status: hyper::StatusCode,
    content: &impl serde::Serialize,
) -> hyper::Response<http::Body> {
    let (status, text) = match serde_json::to_vec(content) {
        Ok(text) => (status, text),
        Err(error) => (hyper::StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
    };
    let mut response = hyper::Response::new(http::Body::whole(text));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    response
}

/// Creates a request with a JSON body.
pub fn json_request(
    method: hyper::Method,
    uri: &str,
    content: &impl serde::Serialize,
) -> Result<hyper::Request<bytes::Bytes>, error::Error> {
    let text = serde_json::to_vec(content)
        .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()))?;
    hyper::Request::builder()
        .method(method)
        .uri(uri)
        .header(header::CONTENT_TYPE, JSON)
        .body(text.into())
        .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()).at(uri))
}

/// Parses an answer's JSON body.
pub fn parse<T: serde::de::DeserializeOwned>(
    response: &hyper::Response<bytes::Bytes>,
) -> Result<T, http::CallError> {
    serde_json::from_slice(response.body())
        .map_err(|error| http::CallError::Unusable(error.to_string()))
}

/// Reads a body of at most `limit` bytes within `deadline`.
///
/// Fails with kind `TooLarge` if the body is longer, and with `Unavailable` if it does not arrive in
/// time or reading it fails.
pub async fn read_body(
    body: body::Incoming,
    limit: usize,
    deadline: time::Duration,
) -> Result<bytes::Bytes, error::Error> {
    let collect = Limited::new(body, limit).collect();
    match tokio::time::timeout(deadline, collect).await {
        Ok(Ok(content)) => Ok(content.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body is longer than {limit} bytes");
            Err(error::Error::new(error::ErrorKind::TooLarge, message))
        }
        Ok(Err(error)) => Err(error::Error::new(error::ErrorKind::Unavailable, error.to_string())),
        Err(_) => {
            let message = format!("the body did not come within {} ms", deadline.as_millis());
            Err(error::Error::new(error::ErrorKind::Unavailable, message))
        }
    }
}

/// Reads a JSON body of at most `limit` bytes within `deadline`.
///
/// Fails as [`read_body`] does, and with kind `Invalid` if the body is not valid JSON for `T`.
pub async fn read_json<T: serde::de::DeserializeOwned>(
    body: body::Incoming,
    limit: usize,
    deadline: time::Duration,
) -> Result<T, error::Error> {
    let content = read_body(body, limit, deadline).await?;
    serde_json::from_slice(&content)
        .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()))
}
