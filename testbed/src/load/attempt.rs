//! One attempt of a request at one daemon.

use std::{net, time};

use hyper::{Method, StatusCode, header};
use trefoildyke_types::request;
use trefoildyke_wire::http;

use crate::load;

/// How long a daemon may say nothing in a stream; it sends a comment at least every second.
const SILENCE: time::Duration = time::Duration::from_secs(4);
/// How long the first words of an answer may take.
const HEAD: time::Duration = time::Duration::from_secs(4);
/// The longest event that is read, in bytes.
const EVENT_BYTES: usize = 1 << 20;

/// Says how a request or an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The answer is whole and the caller's own.
    Whole,
    /// The daemon refused.
    Refused(request::Refusal),
    /// The answer breaks a promise.
    Broken(load::Fault),
    /// The daemon could not be reached or its answer broke off.
    Lost(String),
    /// The caller stopped waiting.
    Late,
}

/// Holds one attempt at one daemon.
#[derive(Debug)]
pub struct Attempt<'a> {
    /// The client that all callers share.
    pub client: &'a http::Client,
    /// The daemon.
    pub daemon: net::SocketAddr,
    /// The account's key.
    pub key: &'a str,
    /// What is sent.
    pub spec: &'a request::RequestSpec,
}

impl Attempt<'_> {
    /// Makes the attempt and returns how it ended; never [`Ending::Late`].
    pub async fn make(&self, check: &mut load::AnswerCheck, log: &mut load::RequestLog) -> Ending {
        match self.open().await {
            Ok(mut reader) => read(&mut reader, check, log).await,
            Err(ending) => ending,
        }
    }

    async fn open(&self) -> Result<http::EventReader, Ending> {
        let uri = format!("http://{}/v1/requests", self.daemon);
        let mut request = http::json_request(Method::POST, &uri, self.spec)
            .map_err(|error| Ending::Lost(error.to_string()))?;
        let bearer = header::HeaderValue::from_str(&format!("Bearer {}", self.key));
        let bearer = bearer.map_err(|error| Ending::Lost(error.to_string()))?;
        request.headers_mut().insert(header::AUTHORIZATION, bearer);
        let response = self.client.open(request, HEAD).await;
        let response = response.map_err(|error| Ending::Lost(error.to_string()))?;
        if response.status() == StatusCode::OK {
            return Ok(http::EventReader::new(response.into_body(), EVENT_BYTES));
        }
        Err(read_refusal(response).await)
    }
}

async fn read_refusal(response: hyper::Response<hyper::body::Incoming>) -> Ending {
    let status = response.status();
    match http::read_json::<request::Refusal>(response.into_body(), EVENT_BYTES, HEAD).await {
        Ok(refusal) => Ending::Refused(refusal),
        Err(error) => Ending::Lost(format!("status {status} without a refusal: {error}")),
    }
}

async fn read(
    reader: &mut http::EventReader,
    check: &mut load::AnswerCheck,
    log: &mut load::RequestLog,
) -> Ending {
    loop {
        let (name, data) = match reader.next(SILENCE).await {
            Ok(Some(http::Event::Comment)) => continue,
            Ok(Some(http::Event::Message { name, data })) => (name, data),
            Ok(None) => return Ending::Lost("the stream ended before its last chunk".to_owned()),
            Err(error) => return Ending::Lost(error.to_string()),
        };
        match name.as_str() {
            "accepted" => {}
            "refused" => return refused(&data),
            _ => match take_in(&data, check, log) {
                Ok(false) => {}
                Ok(true) => return Ending::Whole,
                Err(ending) => return ending,
            },
        }
    }
}

fn refused(data: &str) -> Ending {
    match serde_json::from_str(data) {
        Ok(refusal) => Ending::Refused(refusal),
        Err(error) => Ending::Lost(format!("an unreadable refusal: {error}")),
    }
}

fn take_in(
    data: &str,
    check: &mut load::AnswerCheck,
    log: &mut load::RequestLog,
) -> Result<bool, Ending> {
    let chunk: request::Chunk = serde_json::from_str(data)
        .map_err(|error| Ending::Lost(format!("an unreadable chunk: {error}")))?;
    let whole = check.take_in(&chunk).map_err(Ending::Broken)?;
    if !chunk.tokens.is_empty() {
        log.tokens(chunk.tokens.len());
    }
    Ok(whole)
}
