//! Sends one order over its own connection.

use std::{net, time};

use http_body_util::{BodyExt as _, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt;

use crate::endpoint;

type Response = hyper::Response<bytes::Bytes>;

/// Sends a request once and returns the answer.
///
/// `may_write` is called when the connection is open, immediately before the request is written.
/// Opening a connection can take long, so a check before it could be outdated by then.
pub(super) async fn send(
    address: net::SocketAddr,
    request: hyper::Request<bytes::Bytes>,
    limits: &endpoint::Limits,
    timeout: time::Duration,
    may_write: impl FnOnce() -> bool,
) -> Result<Response, endpoint::OrderError> {
    let not_sent = |error: &dyn std::fmt::Display| endpoint::OrderError::NotSent(error.to_string());
    let opening = tokio::time::timeout(limits.connect, tokio::net::TcpStream::connect(address));
    let stream = opening.await.map_err(|_| not_sent(&"connecting took too long"))?;
    let io = rt::TokioIo::new(stream.map_err(|error| not_sent(&error))?);
    let (sender, connection) = http1::handshake(io).await.map_err(|error| not_sent(&error))?;
    if !may_write() {
        return Err(endpoint::OrderError::TooLate);
    }
    let exchange = exchange(sender, request, limits.max_bytes);
    let joined = async { tokio::join!(exchange, connection).0 };
    let answer = tokio::time::timeout(timeout, joined).await;
    answer.unwrap_or_else(|_| Err(endpoint::OrderError::Unknown("no answer in time".to_owned())))
}

/// Sends the request and reads the answer, then drops the sender, which closes the connection.
async fn exchange(
    mut sender: http1::SendRequest<Full<bytes::Bytes>>,
    request: hyper::Request<bytes::Bytes>,
    max_bytes: usize,
) -> Result<Response, endpoint::OrderError> {
    let unknown = |error: &dyn std::fmt::Display| endpoint::OrderError::Unknown(error.to_string());
    let response = sender.send_request(request.map(Full::new)).await;
    let (head, body) = response.map_err(|error| unknown(&error))?.into_parts();
    let body = Limited::new(body, max_bytes).collect().await;
    let body = body.map_err(|error| unknown(&error))?.to_bytes();
    Ok(hyper::Response::from_parts(head, body))
}
