//! The small faces: readiness and metrics.

use std::sync;

use bytes::Bytes;
use hyper::{StatusCode, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, task};
use tokio_util::sync as tokio_sync;

use crate::{face, record, state};

/// Which small face a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Face {
    /// Answers 200 if new connections may come, 503 otherwise.
    Ready,
    /// Answers the metrics in the Prometheus text format.
    Metrics,
}

/// Serves a small face until `ending` is cancelled.
pub(crate) async fn serve(
    shared: sync::Arc<state::Shared>,
    listener: net::TcpListener,
    face: Face,
    ending: tokio_sync::CancellationToken,
) -> std::io::Result<()> {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            () = ending.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(one(sync::Arc::clone(&shared), stream, face));
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

async fn one(shared: sync::Arc<state::Shared>, stream: net::TcpStream, face: Face) {
    let service = service::service_fn(move |_| {
        let response = answer(&shared, face);
        async move { Ok::<_, std::convert::Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .serve_connection(rt::TokioIo::new(stream), service);
    // How a connection ends is the other end's business.
    let _ = served.await;
}

fn answer(shared: &state::Shared, face: Face) -> hyper::Response<face::Body> {
    let (status, text) = match face {
        Face::Ready => ready(shared),
        Face::Metrics => match shared.metrics.text() {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
    };
    let mut response = hyper::Response::new(face::full(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn ready(shared: &state::Shared) -> (StatusCode, String) {
    let (is_ready, age) = shared.readiness();
    if shared.note_ready(is_ready) {
        let age_ms = age.map(|age| age.as_millis() as u64);
        shared.journal.write(&record::Event::Ready { ready: is_ready, age_ms });
    }
    if is_ready {
        (StatusCode::OK, "ready\n".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}
