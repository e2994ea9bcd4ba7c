//! Serves the readiness check and the metrics.

use std::sync;

use bytes::Bytes;
use hyper::{StatusCode, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, task};
use tokio_util::sync as tokio_sync;

use crate::{ingress, record, state};

/// The page that a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Page {
    /// Answers 200 if the gateway accepts new connections, 503 otherwise.
    Ready,
    /// Answers the metrics in the Prometheus text format.
    Metrics,
}

/// Serves a page until `shutdown` is cancelled.
pub(crate) async fn serve(
    shared: sync::Arc<state::Shared>,
    listener: net::TcpListener,
    page: Page,
    shutdown: tokio_sync::CancellationToken,
) -> std::io::Result<()> {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_one(sync::Arc::clone(&shared), stream, page));
                }
                Err(error) => {
                    log::warn!("a connection could not be accepted: {error}");
                    tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                }
            }
        }
    }
    connections.shutdown().await;
    Ok(())
}

async fn serve_one(shared: sync::Arc<state::Shared>, stream: net::TcpStream, page: Page) {
    let service = service::service_fn(move |_| {
        let response = answer(&shared, page);
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(stream), service);
    // Errors of a connection concern only its client.
    let _ = served.await;
}

fn answer(shared: &state::Shared, page: Page) -> hyper::Response<ingress::Body> {
    let (status, text) = match page {
        Page::Ready => ready(shared),
        Page::Metrics => match shared.metrics.text() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
    };
    let mut response = hyper::Response::new(ingress::full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn ready(shared: &state::Shared) -> (StatusCode, String) {
    let (is_ready, age) = shared.readiness();
    if shared.record_readiness(is_ready) {
        let age_ms = age.map(|age| age.as_millis() as u64);
        shared.journal.write(&record::Event::Ready { ready: is_ready, age_ms });
    }
    if is_ready {
        (StatusCode::OK, "ready\n".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}
