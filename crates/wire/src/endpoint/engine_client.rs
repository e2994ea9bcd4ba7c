//! A client for one model engine.

use std::{net, time};

use hyper::{Method, StatusCode, header};
use trefoildyke_types::{engine, error, id};

use crate::{
    endpoint::{self, message, order_call},
    http,
};

/// A client for one model engine. Clones share connections.
///
/// Each stream opens its own connection. A failed connect then proves that nothing was sent, and a
/// start cannot be lost on a pooled connection that stopped working while it was idle.
#[derive(Clone, Debug)]
pub struct EngineClient {
    address: net::SocketAddr,
    limits: endpoint::Limits,
    /// Opens a connection for each stream.
    stream_client: http::Client,
    /// Keeps connections open for short calls.
    call_client: http::Client,
}

impl EngineClient {
    /// Creates a client without connections.
    pub fn new(address: net::SocketAddr, limits: endpoint::Limits) -> Self {
        let pooled = http::ClientLimits {
            connect: limits.connect,
            body: limits.max_bytes,
            ..Default::default()
        };
        let unpooled = http::ClientLimits { pooled: 0, ..pooled };
        Self {
            address,
            limits,
            stream_client: http::Client::new(unpooled),
            call_client: http::Client::new(pooled),
        }
    }

    /// Returns the engine's address.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the limits.
    pub const fn limits(&self) -> &endpoint::Limits {
        &self.limits
    }

    /// Starts a stream. The request is sent at most once.
    ///
    /// If the engine has not answered after [`endpoint::Limits::answer`], the stream is looked for in
    /// addition. The start itself stays open, since an engine that stands still does not know the stream
    /// before it has read the start.
    pub async fn start(
        &self,
        generate: &message::Generate,
    ) -> Result<endpoint::AnswerStream, endpoint::StartError> {
        let key = generate.key();
        let mut sending = std::pin::pin!(self.send_start(generate));
        if let Ok(started) = tokio::time::timeout(self.limits.answer, &mut sending).await {
            return started;
        }
        tokio::select! {
            started = sending => started,
            reader = self.find(&key) => {
                Ok(endpoint::AnswerStream::started(self.clone(), key.clone(), reader))
            }
        }
    }

    /// Sends a start and waits for the head of its answer, for at most [`endpoint::Limits::give_up`].
    async fn send_start(
        &self,
        generate: &message::Generate,
    ) -> Result<endpoint::AnswerStream, endpoint::StartError> {
        let request = http::json_request(Method::POST, &self.uri("/v1/generate"), generate)
            .map_err(|error| endpoint::StartError::NotSent(error.to_string()))?;
        let limit = self.limits.give_up.max(self.limits.answer);
        let response = self.stream_client.open(request, limit).await;
        let response = response.map_err(|error| match error {
            http::CallError::NotSent(detail) => endpoint::StartError::NotSent(detail),
            http::CallError::Lost(detail) | http::CallError::Unusable(detail) => {
                endpoint::StartError::Unknown(detail)
            }
        })?;
        let status = response.status();
        if status.is_client_error() {
            let detail = read_detail(response, &self.limits).await;
            return Err(endpoint::StartError::Refused { status: status.as_u16(), detail });
        }
        if status != StatusCode::OK {
            return Err(endpoint::StartError::Unknown(format!("status {status}")));
        }
        let reader = http::EventReader::new(response.into_body(), self.limits.max_bytes);
        Ok(endpoint::AnswerStream::started(self.clone(), generate.key(), reader))
    }

    /// Returns the stream of a request that was started earlier, from token `offset` on.
    ///
    /// Nothing is sent before the first call of [`endpoint::AnswerStream::next`], and no request
    /// that this stream sends can start work.
    pub fn resume(&self, key: &id::RequestKey, offset: u64) -> endpoint::AnswerStream {
        endpoint::AnswerStream::resumed(self.clone(), key.clone(), offset)
    }

    /// Cancels a stream and returns whether the engine knew it.
    pub async fn cancel(&self, key: &id::RequestKey) -> Result<bool, error::Error> {
        let path = format!("/v1/streams/{}/{}", key.account, key.id);
        let response = self.call(Method::DELETE, &path).await?;
        match response.status() {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            status => Err(self.unexpected_status(status)),
        }
    }

    /// Reads the engine's load report, which lags behind its current load.
    pub async fn load(&self) -> Result<engine::LoadReport, error::Error> {
        self.read("/v1/load").await
    }

    /// Reads the cache events published after the page whose `next` was `after`; 0 reads all.
    pub async fn cache_events(&self, after: u64) -> Result<message::CachePage, error::Error> {
        self.read(&format!("/v1/cache/events?after={after}")).await
    }

    /// Sends an order once, on its own connection, and waits for its result for at most `timeout`.
    ///
    /// `may_write` is called when the connection is open, immediately before anything is written;
    /// if it returns `false`, nothing is written.
    pub async fn order(
        &self,
        order: &message::Order,
        timeout: time::Duration,
        may_write: impl FnOnce() -> bool,
    ) -> Result<(), endpoint::OrderError> {
        let request = http::json_request(Method::POST, "/v1/orders", order)
            .and_then(|request| self.with_host_header(request))
            .map_err(|error| endpoint::OrderError::NotSent(error.to_string()))?;
        let sending = order_call::send(self.address, request, &self.limits, timeout, may_write);
        check_order_reply(&sending.await?, &order.order)
    }

    /// Returns the stream of a request from its first token on, as soon as the engine knows it.
    async fn find(&self, key: &id::RequestKey) -> http::EventReader {
        loop {
            if let Ok(Some(reader)) = self.open(key, 0).await {
                return reader;
            }
            tokio::time::sleep(self.limits.retry_delay).await;
        }
    }

    /// Opens the stream of a request at token `offset`; returns `None` if the engine does not know it.
    pub(super) async fn open(
        &self,
        key: &id::RequestKey,
        offset: u64,
    ) -> Result<Option<http::EventReader>, error::Error> {
        let path = format!("/v1/streams/{}/{}?offset={offset}", key.account, key.id);
        let request = self.empty_request(Method::GET, &path)?;
        let response = self.stream_client.open(request, self.limits.answer).await;
        let response = response.map_err(|error| error.as_read_error().about(&self.address))?;
        match response.status() {
            StatusCode::OK => {
                Ok(Some(http::EventReader::new(response.into_body(), self.limits.max_bytes)))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(self.unexpected_status(status)),
        }
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, error::Error> {
        let response = self.call(Method::GET, path).await?;
        if response.status() != StatusCode::OK {
            return Err(self.unexpected_status(response.status()));
        }
        http::parse(&response).map_err(|error| error.as_read_error().about(&self.address))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
    ) -> Result<hyper::Response<bytes::Bytes>, error::Error> {
        let request = self.empty_request(method, path)?;
        let response = self.call_client.call(request, self.limits.answer).await;
        response.map_err(|error| error.as_read_error().about(&self.address))
    }

    fn empty_request(
        &self,
        method: Method,
        path: &str,
    ) -> Result<hyper::Request<bytes::Bytes>, error::Error> {
        let request = hyper::Request::builder().method(method).uri(self.uri(path));
        request
            .body(bytes::Bytes::new())
            .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()))
    }

    fn with_host_header(
        &self,
        mut request: hyper::Request<bytes::Bytes>,
    ) -> Result<hyper::Request<bytes::Bytes>, error::Error> {
        let host = header::HeaderValue::from_str(&self.address.to_string())
            .map_err(|error| error::Error::new(error::ErrorKind::Invalid, error.to_string()))?;
        request.headers_mut().insert(header::HOST, host);
        Ok(request)
    }

    fn unexpected_status(&self, status: StatusCode) -> error::Error {
        let message = format!("the engine answered with status {status}");
        error::Error::new(error::ErrorKind::Unavailable, message).about(&self.address)
    }

    fn uri(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

fn check_order_reply(
    response: &hyper::Response<bytes::Bytes>,
    order: &str,
) -> Result<(), endpoint::OrderError> {
    let status = response.status();
    if status == StatusCode::CONFLICT {
        let stale = http::parse::<message::StaleFence>(response)
            .map_err(|error| endpoint::OrderError::Unknown(error.to_string()))?;
        return Err(endpoint::OrderError::Stale { current: stale.current_fence });
    }
    if status.is_client_error() {
        let detail = String::from_utf8_lossy(response.body()).into_owned();
        return Err(endpoint::OrderError::Refused { status: status.as_u16(), detail });
    }
    if status != StatusCode::OK {
        return Err(endpoint::OrderError::Unknown(format!("status {status}")));
    }
    let done = http::parse::<message::OrderDone>(response)
        .map_err(|error| endpoint::OrderError::Unknown(error.to_string()))?;
    if done.order != order {
        let detail = format!("the answer is about order `{}`", done.order);
        return Err(endpoint::OrderError::Unknown(detail));
    }
    Ok(())
}

/// Returns the body of a refusal as text for a person.
///
/// Returns an error text instead if the body is longer than 4,096 bytes or cannot be read.
pub(super) async fn read_detail(
    response: hyper::Response<hyper::body::Incoming>,
    limits: &endpoint::Limits,
) -> String {
    const MAX_DETAIL_BYTES: usize = 4_096;
    match http::read_body(response.into_body(), MAX_DETAIL_BYTES, limits.answer).await {
        Ok(body) => String::from_utf8_lossy(&body).into_owned(),
        Err(error) => error.to_string(),
    }
}
