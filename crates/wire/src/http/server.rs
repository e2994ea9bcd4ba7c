//! Accepts connections within limits and joins the task of each one.

use std::{net, sync, time};

use hyper::{body, service};
use hyper_util::{rt, server::conn::auto};
use tokio::task;
use tokio_util::sync as cancel;

use crate::http;
use crate::http::executor;

/// Holds one request and where it came from.
#[derive(Debug)]
pub struct Call {
    /// The other end's address.
    pub source: net::SocketAddr,
    /// The request; its body has not been read.
    pub request: hyper::Request<body::Incoming>,
}

/// Runs a server until it is stopped or dropped.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    stopping: cancel::CancellationToken,
    killing: cancel::CancellationToken,
    accepting: Option<task::JoinHandle<()>>,
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
        let stopping = cancel::CancellationToken::new();
        let killing = cancel::CancellationToken::new();
        let streams = executor::Executor::default();
        let acceptor = Acceptor {
            listener,
            builder: sync::Arc::new(connection_builder(&limits, &streams)),
            streams,
            limit: limits.connections,
            stopping: stopping.clone(),
            killing: killing.clone(),
        };
        let accepting = Some(tokio::spawn(acceptor.run(handler)));
        Ok(Self { address, stopping, killing, accepting })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops accepting, lets calls in progress end for at most `grace`, and joins every task.
    pub async fn stop(mut self, grace: time::Duration) {
        self.stopping.cancel();
        let Some(mut accepting) = self.accepting.take() else {
            return;
        };
        if tokio::time::timeout(grace, &mut accepting).await.is_err() {
            self.killing.cancel();
            // A panic of the accept loop has been reported by the panic hook.
            let _ = accepting.await;
        }
    }

    /// Waits until the server has been stopped.
    pub async fn join(mut self) {
        if let Some(accepting) = self.accepting.take() {
            // A panic of the accept loop has been reported by the panic hook.
            let _ = accepting.await;
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.cancel();
        self.killing.cancel();
    }
}

struct Acceptor {
    listener: tokio::net::TcpListener,
    builder: sync::Arc<auto::Builder<executor::Executor>>,
    /// Runs the streams of HTTP/2 connections.
    streams: executor::Executor,
    limit: usize,
    stopping: cancel::CancellationToken,
    killing: cancel::CancellationToken,
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
                () = self.stopping.cancelled() => break,
                Some(_) = connections.join_next() => {}
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, source)) if connections.len() < self.limit => {
                        self.spawn(&mut connections, stream, source, handler.clone());
                    }
                    Ok(_) => {}
                    // Out of file descriptors, for one: let some connections end first.
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                }
            }
        }
        drop(self.listener);
        tokio::select! {
            () = self.killing.cancelled() => connections.shutdown().await,
            () = async { while connections.join_next().await.is_some() {} } => {}
        }
        self.streams.join().await;
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
        // Only delays small writes if it fails.
        let _ = stream.set_nodelay(true);
        let builder = sync::Arc::clone(&self.builder);
        let stopping = self.stopping.clone();
        connections.spawn(async move {
            let service = service::service_fn(move |request| handler(Call { source, request }));
            let connection =
                builder.serve_connection_with_upgrades(rt::TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            // How a connection ends is the other end's business.
            tokio::select! {
                _ = connection.as_mut() => return,
                () = stopping.cancelled() => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
    }
}

const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

fn connection_builder(
    limits: &http::ServerLimits,
    streams: &executor::Executor,
) -> auto::Builder<executor::Executor> {
    let mut builder = auto::Builder::new(streams.clone());
    builder
        .http1()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(limits.header_wait)
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
