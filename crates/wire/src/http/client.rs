//! An HTTP client with a connection pool and a deadline on every call.

use std::sync::atomic;
use std::{sync, time};

use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body;
use hyper_util::{client::legacy, rt};

use crate::http;
use crate::http::executor;

type Pool = legacy::Client<legacy::connect::HttpConnector, Full<bytes::Bytes>>;

/// A client that sends requests over pooled connections.
///
/// When a call exceeds its deadline, its connection is dropped and the whole pool is replaced: if
/// one connection has stopped working, the idle ones may have too. Clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    shared: sync::Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limits: http::ClientLimits,
    executor: executor::Executor,
    current: sync::RwLock<Generation>,
}

/// A connection pool and its generation number.
///
/// Each replacement increments `number`, so that calls which fail together replace the pool once.
#[derive(Clone, Debug)]
struct Generation {
    number: u64,
    pool: Pool,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(limits: http::ClientLimits) -> Self {
        let executor = executor::Executor::default();
        let current = Generation { number: 0, pool: new_pool(&limits, &executor) };
        let shared = Shared { limits, executor, current: sync::RwLock::new(current) };
        Self { shared: sync::Arc::new(shared) }
    }

    /// Sends a request and reads the complete answer within `deadline`.
    pub async fn call(
        &self,
        request: hyper::Request<bytes::Bytes>,
        deadline: time::Duration,
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        let generation = self.generation();
        let received = atomic::AtomicUsize::new(0);
        let exchange = self.exchange(&generation, request, &received);
        self.with_deadline(&generation, deadline, &received, exchange).await
    }

    /// Sends a request and reads the complete answer, however long the link takes to transfer it, as long
    /// as it arrives without longer pauses than `timeouts` allow.
    pub async fn fetch(
        &self,
        request: hyper::Request<bytes::Bytes>,
        timeouts: http::FetchTimeouts,
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        let generation = self.generation();
        let received = atomic::AtomicUsize::new(0);
        let head = send(&generation, request);
        let response = self.with_deadline(&generation, timeouts.head, &received, head).await?;
        let (head, body) = response.into_parts();
        let mut body = Limited::new(body, self.shared.limits.body);
        let mut content = bytes::BytesMut::new();
        loop {
            let part = async { body.frame().await.transpose().map_err(lost) };
            let Some(part) =
                self.with_deadline(&generation, timeouts.pause, &received, part).await?
            else {
                return Ok(hyper::Response::from_parts(head, content.freeze()));
            };
            if let Some(data) = part.data_ref() {
                content.extend_from_slice(data);
                received.store(content.len(), atomic::Ordering::Relaxed);
            }
        }
    }

    /// Sends a request and returns when the head of the answer has arrived, within `deadline`.
    ///
    /// The deadline does not cover the body; [`http::EventReader`] has its own timeout for each read.
    pub async fn open(
        &self,
        request: hyper::Request<bytes::Bytes>,
        deadline: time::Duration,
    ) -> Result<hyper::Response<body::Incoming>, http::CallError> {
        let generation = self.generation();
        let head = send(&generation, request);
        self.with_deadline(&generation, deadline, &atomic::AtomicUsize::new(0), head).await
    }

    /// Replaces the connection pool, so that the next calls open new connections.
    pub fn replace_connections(&self) {
        self.replace(self.generation().number);
    }

    /// Closes idle connections and waits until all connections have ended.
    ///
    /// Calls in progress keep their connections open, so end them first.
    pub async fn close(self) {
        self.replace_connections();
        self.shared.executor.join().await;
    }

    async fn exchange(
        &self,
        generation: &Generation,
        request: hyper::Request<bytes::Bytes>,
        received: &atomic::AtomicUsize,
    ) -> Result<hyper::Response<bytes::Bytes>, http::CallError> {
        let (head, body) = send(generation, request).await?.into_parts();
        let body = body.map_frame(|frame| {
            let length = frame.data_ref().map_or(0, bytes::Bytes::len);
            received.fetch_add(length, atomic::Ordering::Relaxed);
            frame
        });
        let body = Limited::new(body, self.shared.limits.body).collect().await.map_err(lost)?;
        Ok(hyper::Response::from_parts(head, body.to_bytes()))
    }

    async fn with_deadline<T>(
        &self,
        generation: &Generation,
        deadline: time::Duration,
        received: &atomic::AtomicUsize,
        call: impl Future<Output = Result<T, http::CallError>>,
    ) -> Result<T, http::CallError> {
        match tokio::time::timeout(deadline, call).await {
            Ok(result) => result,
            Err(_) => {
                self.replace(generation.number);
                let deadline_ms = deadline.as_millis();
                let detail = match received.load(atomic::Ordering::Relaxed) {
                    0 => format!("nothing came within {deadline_ms} ms"),
                    bytes => {
                        format!(
                            "incomplete: {bytes} bytes came, then the {deadline_ms} ms were over"
                        )
                    }
                };
                Err(http::CallError::Lost(detail))
            }
        }
    }

    fn generation(&self) -> Generation {
        let current = self.shared.current.read();
        current.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    fn replace(&self, number: u64) {
        let current = self.shared.current.write();
        let mut current = current.unwrap_or_else(sync::PoisonError::into_inner);
        if current.number == number {
            let pool = new_pool(&self.shared.limits, &self.shared.executor);
            *current = Generation { number: number + 1, pool };
        }
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new(http::ClientLimits::default())
    }
}

async fn send(
    generation: &Generation,
    request: hyper::Request<bytes::Bytes>,
) -> Result<hyper::Response<body::Incoming>, http::CallError> {
    generation.pool.request(request.map(Full::new)).await.map_err(|error| {
        let detail = error_chain(&error);
        if error.is_connect() {
            http::CallError::NotSent(detail)
        } else {
            http::CallError::Lost(detail)
        }
    })
}

fn lost(error: impl std::fmt::Display) -> http::CallError {
    http::CallError::Lost(error.to_string())
}

fn error_chain(error: &dyn std::error::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {}", error_chain(source)),
        None => error.to_string(),
    }
}

fn new_pool(limits: &http::ClientLimits, executor: &executor::Executor) -> Pool {
    let mut connector = legacy::connect::HttpConnector::new();
    connector.set_connect_timeout(Some(limits.connect));
    connector.set_nodelay(true);
    connector.set_local_address(limits.local);
    legacy::Client::builder(executor.clone())
        .pool_timer(rt::TokioTimer::new())
        .pool_idle_timeout(limits.idle_timeout)
        .pool_max_idle_per_host(limits.pooled)
        .build(connector)
}
