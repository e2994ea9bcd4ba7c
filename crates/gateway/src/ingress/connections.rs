//! Connections of callers.

use std::{sync, time};

use hyper::{body, header, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, sync::mpsc, task};
use trefoildyke_decide::gateway;

use crate::{
    ingress,
    ingress::{
        caller_connection::{CallerConnection, CloseReason},
        watched_stream::WatchedStream,
    },
    state,
};

/// Serves callers until a stop is draining; then serves the open connections until they end or the stop cuts
/// them off.
pub(crate) async fn serve(
    shared: sync::Arc<state::Shared>,
    listener: net::TcpListener,
    phases: ingress::StopPhases,
) -> std::io::Result<()> {
    let _ended = phases.ended.clone().drop_guard();
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            () = phases.draining.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if connections.len() < shared.settings.max_connections => {
                    let shared = sync::Arc::clone(&shared);
                    connections.spawn(serve_one(shared, stream, phases.clone()));
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
    phases: ingress::StopPhases,
) {
    // A failure only delays small writes.
    let _ = stream.set_nodelay(true);
    let builder = builder(&shared);
    // Dropped after the connection, whose requests end with it.
    let caller = OpenConnection::default();
    let state = sync::Arc::clone(&caller.state);
    let (sender, unread) = mpsc::unbounded_channel();
    let discarding = ingress::discard_unread(sync::Arc::clone(&shared), unread);
    let service = service::service_fn(move |request| {
        answer(sync::Arc::clone(&shared), sync::Arc::clone(&state), request, sender.clone())
    });
    let stream = WatchedStream { stream, connection: sync::Arc::clone(&caller.state) };
    let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // It ends only after the connection, which owns the sender.
    let mut discarding = std::pin::pin!(discarding);
    let mut result = tokio::select! {
        // A request that has arrived is answered before the connection is closed.
        biased;
        result = connection.as_mut() => Some(result),
        () = discarding.as_mut() => None,
        () = phases.closing.cancelled() => None,
    };
    if result.is_none() {
        connection.as_mut().graceful_shutdown();
        result = tokio::select! {
            result = connection.as_mut() => Some(result),
            () = discarding.as_mut() => None,
            () = phases.shutdown.cancelled() => None,
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

/// Answers one request and passes on its body, of which a part may not have been read.
///
/// The body is passed on last, so that its rest is read after the answer has begun and a caller that waits
/// for `100 Continue` is not asked for it.
async fn answer(
    shared: sync::Arc<state::Shared>,
    connection: sync::Arc<CallerConnection>,
    request: hyper::Request<body::Incoming>,
    unread: mpsc::UnboundedSender<body::Incoming>,
) -> Result<hyper::Response<ingress::Body>, std::convert::Infallible> {
    let (head, mut body) = request.into_parts();
    let mut response =
        ingress::handle(sync::Arc::clone(&shared), connection, head, &mut body).await;
    if shared.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    // The receiver is dropped only with the connection.
    let _ = unread.send(body);
    Ok(response)
}

/// Returns the limits on requests that are in force.
pub(crate) fn limits(shared: &state::Shared) -> gateway::Limits {
    let limits = shared.core().table.as_ref().map(|table| table.config().limits.clone());
    limits.unwrap_or_default()
}

fn builder(shared: &sync::Arc<state::Shared>) -> http1::Builder {
    let limits = limits(shared);
    let mut builder = http1::Builder::new();
    builder
        .timer(ingress::HeadTimer { shared: sync::Arc::clone(shared) })
        .header_read_timeout(ingress::head_wait(&limits))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER))
        .auto_date_header(false);
    builder
}
