//! An HTTP server with limits that joins the task of each connection.

use std::{net, sync, time};

use hyper::{body, service};
use hyper_util::{rt, server::conn::auto};
use tokio::task;
use tokio_util::sync as cancel;

use crate::http;
use crate::http::executor;

/// A request and the address that it came from.
#[derive(Debug)]
pub struct Call {
    /// The client's address.
    pub source: net::SocketAddr,
    /// The request; its body has not been read.
    pub request: hyper::Request<body::Incoming>,
}

/// An HTTP server that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    shutdown: cancel::CancellationToken,
    abort: cancel::CancellationToken,
    accept_task: Option<task::JoinHandle<()>>,
}

impl Server {
    /// Starts a server that answers each call with `handler`.
    ///
    /// A handler that returns [`http::Aborted`] closes the connection without an answer. Must be
    /// called within a tokio runtime.
    pub fn start<F, A>(
        listener: tokio::net::TcpListener,
        limits: http::ServerLimits,
        handler: F,
    ) -> std::io::Result<Self>
    where
        F: Fn(Call) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<hyper::Response<http::Body>, http::Aborted>> + Send + 'static,
    {
        let address = listener.local_addr()?;
        let shutdown = cancel::CancellationToken::new();
        let abort = cancel::CancellationToken::new();
        let stream_executor = executor::Executor::default();
        let acceptor = Acceptor {
            listener,
            builder: sync::Arc::new(connection_builder(&limits, &stream_executor)),
            stream_executor,
            limit: limits.connections,
            shutdown: shutdown.clone(),
            abort: abort.clone(),
        };
        let accept_task = Some(tokio::spawn(acceptor.run(handler)));
        Ok(Self { address, shutdown, abort, accept_task })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops accepting, waits at most `grace` for calls in progress, aborts the rest, and joins every
    /// task.
    pub async fn stop(mut self, grace: time::Duration) {
        self.shutdown.cancel();
        let Some(mut accept_task) = self.accept_task.take() else {
            return;
        };
        if tokio::time::timeout(grace, &mut accept_task).await.is_err() {
            self.abort.cancel();
            // The panic hook has already reported a panic of the accept loop.
            let _ = accept_task.await;
        }
    }

    /// Waits until the accept loop and all connections have ended.
    pub async fn join(mut self) {
        if let Some(accept_task) = self.accept_task.take() {
            // The panic hook has already reported a panic of the accept loop.
            let _ = accept_task.await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.cancel();
        self.abort.cancel();
    }
}

struct Acceptor {
    listener: tokio::net::TcpListener,
    builder: sync::Arc<auto::Builder<executor::Executor>>,
    /// Runs the stream tasks of HTTP/2 connections.
    stream_executor: executor::Executor,
    limit: usize,
    shutdown: cancel::CancellationToken,
    abort: cancel::CancellationToken,
}

impl Acceptor {
    async fn run<F, A>(self, handler: F)
    where
        F: Fn(Call) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<hyper::Response<http::Body>, http::Aborted>> + Send + 'static,
    {
        let mut connections = task::JoinSet::new();
        loop {
            tokio::select! {
                () = self.shutdown.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, source)) if connections.len() < self.limit => {
                        self.spawn(&mut connections, stream, source, handler.clone());
                    }
                    Ok(_) => {}
                    // The cause can be a lack of file descriptors: wait until some connections end.
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        }
        drop(self.listener);
        tokio::select! {
            () = self.abort.cancelled() => connections.shutdown().await,
            () = async { while connections.join_next().await.is_some() {} } => {}
        }
        self.stream_executor.join().await;
    }

    fn spawn<F, A>(
        &self,
        connections: &mut task::JoinSet<()>,
        stream: tokio::net::TcpStream,
        source: net::SocketAddr,
        handler: F,
    ) where
        F: Fn(Call) -> A + Clone + Send + Sync + 'static,
        A: Future<Output = Result<hyper::Response<http::Body>, http::Aborted>> + Send + 'static,
    {
        // A failure only delays small writes.
        let _ = stream.set_nodelay(true);
        let builder = sync::Arc::clone(&self.builder);
        let shutdown = self.shutdown.clone();
        connections.spawn(async move {
            let service = service::service_fn(move |request| handler(Call { source, request }));
            let connection =
                builder.serve_connection_with_upgrades(rt::TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            // An error of the connection is ignored: it concerns only this client.
            tokio::select! {
                _ = connection.as_mut() => return,
                () = shutdown.cancelled() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
    }
}

const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

fn connection_builder(
    limits: &http::ServerLimits,
    stream_executor: &executor::Executor,
) -> auto::Builder<executor::Executor> {
    let mut builder = auto::Builder::new(stream_executor.clone());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header.max(8192));
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header).unwrap_or(u32::MAX))
        .max_concurrent_streams(limits.streams)
        .keep_alive_interval(Some(time::Duration::from_secs(10)))
        .keep_alive_timeout(time::Duration::from_secs(10));
    builder
}
