//! Sends one request to one endpoint and checks the head of the answer.

use std::{sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{StatusCode, header};
use trefoildyke_decide::gateway;
use trefoildyke_types::id;

use crate::{names, names::HeaderNames, state, upstream};

/// An idle connection is reused only within this share of the idle timeout that the endpoint states.
const KEEP_ALIVE_SHARE: f64 = 0.6;

/// The first status code that belongs to no class (RFC 9110, section 15).
const STATUS_END: u16 = 600;

/// The head of an endpoint's answer that belongs to this request.
pub(crate) struct Answer {
    pub(crate) response: hyper::Response<upstream::AnswerBody>,
    pub(crate) connection: upstream::Connection,
}

impl Answer {
    /// Returns whether the answer has a length or chunks; otherwise it ends with its connection.
    pub(crate) fn is_framed(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// A send that failed before the answer's body.
#[derive(Debug)]
pub(crate) struct SendError {
    pub(crate) failure: gateway::Failure,
    pub(crate) outcome: gateway::Outcome,
    pub(crate) detail: String,
}

impl SendError {
    pub(crate) fn from_connection(error: &hyper::Error) -> Self {
        let (failure, outcome) = (upstream::classify_error(error), gateway::Outcome::Lost);
        Self { failure, outcome, detail: describe(error) }
    }

    pub(crate) fn cut(detail: impl Into<String>) -> Self {
        let (failure, outcome) = (gateway::Failure::Cut, gateway::Outcome::Lost);
        Self { failure, outcome, detail: detail.into() }
    }

    fn lost(detail: impl Into<String>) -> Self {
        let (failure, outcome) = (gateway::Failure::Lost, gateway::Outcome::Lost);
        Self { failure, outcome, detail: detail.into() }
    }

    fn withheld() -> Self {
        let (failure, outcome) = (gateway::Failure::NotSent, gateway::Outcome::Unused);
        Self { failure, outcome, detail: "the endpoint takes no requests now".to_owned() }
    }

    fn not_sent(detail: impl Into<String>) -> Self {
        let (failure, outcome) = (gateway::Failure::NotSent, gateway::Outcome::Unreachable);
        Self { failure, outcome, detail: detail.into() }
    }
}

/// Sends `request` to the endpoint of `grant`.
///
/// If an idle connection turns out to be closed before a byte was written, another connection is used.
///
/// What the endpoint says of itself in the head of its answer is applied.
pub(crate) async fn send(
    shared: &sync::Arc<state::Shared>,
    service: &id::PoolName,
    grant: &gateway::Grant,
    id: &str,
    request: &hyper::Request<Full<Bytes>>,
) -> Result<Answer, SendError> {
    let names = &shared.settings.names;
    loop {
        let idle = shared.connections.take(&grant.endpoint);
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let opened = upstream::dial::open(shared, id, grant).await;
                opened.map_err(|error| SendError::not_sent(format!("connect: {error}")))?
            }
        };
        // Another answer may have said so while the connection was opened.
        if !shared.core().service(service).pool.accepts(shared.now(), grant) {
            return Err(SendError::withheld());
        }
        match connection.send(request.clone()).await {
            Ok(response) => {
                let notices = upstream::Notices::read(names, &response);
                shared.apply_notices(service, grant, notices);
                return check_head(names, id, response, connection);
            }
            Err((_, true)) if !is_new => {}
            Err((error, true)) => return Err(SendError::not_sent(describe(&error))),
            Err((error, false)) => return Err(SendError::from_connection(&error)),
        }
    }
}

/// Checks whether the head belongs to an answer that may be forwarded.
fn check_head(
    names: &HeaderNames,
    id: &str,
    response: hyper::Response<upstream::AnswerBody>,
    mut connection: upstream::Connection,
) -> Result<Answer, SendError> {
    let status = response.status();
    if status.is_informational() || status.as_u16() >= STATUS_END {
        return Err(SendError::lost(format!("a final status of {}", status.as_u16())));
    }
    let headers = response.headers();
    let echoed = names::text(headers, &names.request_id);
    let is_not_run = headers.contains_key(&names.not_run);
    if is_not_run || response.status() == StatusCode::MISDIRECTED_REQUEST {
        if echoed.is_some_and(|echoed| echoed != id) {
            return Err(SendError::lost("rejection of another request"));
        }
        return Err(SendError {
            failure: gateway::Failure::Rejected,
            outcome: gateway::Outcome::Rejected,
            detail: format!("answered {} and did not run it", response.status().as_u16()),
        });
    }
    if echoed.is_some_and(|echoed| echoed != id) {
        return Err(SendError::lost("answer to another request"));
    }
    if let Some(fault) = upstream::framing::fault(headers) {
        return Err(SendError::lost(fault));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(SendError::lost("encoded body that was not asked for"));
    }
    let is_sealed = headers.contains_key(&names.seal) && echoed.is_some();
    if response.status().is_success() && !is_sealed {
        return Err(SendError::lost("success without id and seal"));
    }
    if !response.status().is_success() && implies_not_run(response.status()) {
        // If it were forwarded, the status would tell the caller that nothing ran.
        return Err(SendError::lost(format!("answered {}", response.status().as_u16())));
    }
    keep_alive(&response, &mut connection);
    Ok(Answer { response, connection })
}

/// Returns whether callers take the status as a guarantee that nothing ran.
pub(crate) const fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn keep_alive(
    response: &hyper::Response<upstream::AnswerBody>,
    connection: &mut upstream::Connection,
) {
    let headers = response.headers();
    let closes = names::text(headers, &header::CONNECTION);
    if closes.is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        connection.forbid_reuse();
    }
    let stated = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = stated.and_then(|text| {
        let timeout = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
        timeout.unwrap_or(text).trim().parse::<u32>().ok()
    });
    let limit = |seconds| time::Duration::from_secs(u64::from(seconds)).mul_f64(KEEP_ALIVE_SHARE);
    connection.idle_limit = seconds.map(limit);
}

fn describe(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", describe(source)),
        None => error.to_string(),
    }
}
