//! Connections of callers.

use std::{sync, time};

use hyper::{server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, task};
use tokio_util::sync as tokio_sync;
use trefoildyke_decide::gateway;

use crate::{
    ingress,
    ingress::{
        caller_connection::{CallerConnection, CloseReason},
        watched_stream::WatchedStream,
    },
    state,
};

/// Serves callers until `draining` is cancelled; then closes idle connections and lets the requests in
/// progress end until `shutdown` is cancelled.
pub(crate) async fn serve(
    shared: sync::Arc<state::Shared>,
    listener: net::TcpListener,
    draining: tokio_sync::CancellationToken,
    shutdown: tokio_sync::CancellationToken,
) -> std::io::Result<()> {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            () = draining.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < shared.settings.max_connections => {
                    let shared = sync::Arc::clone(&shared);
                    connections.spawn(serve_one(
                        shared,
                        stream,
                        draining.clone(),
                        shutdown.clone(),
                    ));
                }
                Ok(_) => log::warn!("connection refused: as many as settings allow are open"),
                Err(error) => {
                    log::warn!("a connection could not be accepted: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
    Ok(())
}

/// How long no connection is accepted after `accept` failed, for lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// The smallest buffer of a connection that the HTTP library allows, in bytes.
const MIN_BUFFER: usize = 8_192;

async fn serve_one(
    shared: sync::Arc<state::Shared>,
    stream: net::TcpStream,
    draining: tokio_sync::CancellationToken,
    shutdown: tokio_sync::CancellationToken,
) {
    // A failure only delays small writes.
    let _ = stream.set_nodelay(true);
    let limits = shared.core().table.as_ref().map(|table| table.config().limits.clone());
    let builder = builder(&limits.unwrap_or_default());
    // Dropped after the connection, whose requests end with it.
    let caller = OpenConnection::default();
    let state = sync::Arc::clone(&caller.state);
    let service = service::service_fn(move |request| {
        let (shared, state) = (sync::Arc::clone(&shared), sync::Arc::clone(&state));
        async move { Ok::<_, std::convert::Infallible>(ingress::handle(shared, state, request).await) }
    });
    let stream = WatchedStream { stream, connection: sync::Arc::clone(&caller.state) };
    let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut result = tokio::select! {
        result = connection.as_mut() => Some(result),
        () = draining.cancelled() => None,
    };
    if result.is_none() {
        connection.as_mut().graceful_shutdown();
        result = tokio::select! {
            result = connection.as_mut() => Some(result),
            () = shutdown.cancelled() => None,
        };
    }
    caller.state.close(result.map_or(CloseReason::Stop, |result| CloseReason::of(&result)));
}

/// Ends the requests of a connection with it.
#[derive(Default)]
struct OpenConnection {
    state: sync::Arc<CallerConnection>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.state.discard_unwritten();
    }
}

fn builder(limits: &gateway::Limits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    // The read timeout of a head starts at the end of the previous request, so it includes the idle time.
    // Callers use a connection that was idle for less than the limit, and the limit may have been raised
    // since.
    let wait = time::Duration::from_millis(limits.idle_ms.max(limits.header_ms) * 2);
    builder
        .timer(rt::TokioTimer::new())
        .header_read_timeout(wait)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
        .auto_date_header(false);
    builder
}
