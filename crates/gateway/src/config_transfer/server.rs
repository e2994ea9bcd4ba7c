//! Serves the configuration, and tunnels to endpoints, to the other daemons.

use std::{net, sync, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{StatusCode, body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net as tokio_net, task};
use tokio_util::sync as tokio_sync;

use crate::{config_transfer, config_transfer::slots, state, tunnel};

/// The maximum number of open connections: transfers, most of which are turned away at once, and tunnels.
const MAX_CONNECTIONS: usize = 512;

/// How long a client may take to send its request.
const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// How long sent data may remain unacknowledged before a connection ends.
const ACK_TIMEOUT: time::Duration = time::Duration::from_secs(3);

type Response = hyper::Response<Full<Bytes>>;

/// The slot of a connection's transfer, if there is one.
type HeldSlot = sync::Arc<sync::Mutex<Option<slots::Slot>>>;

/// The tunnel that a connection becomes, if a member asks for one.
type HeldTunnel = sync::Arc<sync::Mutex<Option<tunnel::Tunnel>>>;

/// Serves the configuration to the members until `shutdown` is cancelled.
pub(crate) async fn serve(
    shared: sync::Arc<state::Shared>,
    listener: tokio_net::TcpListener,
    shutdown: tokio_sync::CancellationToken,
) -> std::io::Result<()> {
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            () = shutdown.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, source)) if connections.len() < MAX_CONNECTIONS => {
                    connections.spawn(serve_one(sync::Arc::clone(&shared), stream, source.ip()));
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!("a connection could not be accepted: {error}");
                    tokio::time::sleep(time::Duration::from_millis(20)).await;
                }
            }
        }
    }
    connections.shutdown().await;
    Ok(())
}

async fn serve_one(
    shared: sync::Arc<state::Shared>,
    stream: tokio_net::TcpStream,
    source: net::IpAddr,
) {
    // Without the timeout, the slot of a client that has vanished would be lost for minutes.
    let socket = socket2::SockRef::from(&stream);
    if socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)).is_err() {
        return;
    }
    let held = HeldSlot::default();
    let tunnel = HeldTunnel::default();
    let (slot, opened) = (sync::Arc::clone(&held), sync::Arc::clone(&tunnel));
    let service = service::service_fn(move |request: hyper::Request<body::Incoming>| {
        let (shared, slot, opened) =
            (sync::Arc::clone(&shared), sync::Arc::clone(&slot), sync::Arc::clone(&opened));
        async move {
            let response = match request.uri().path() {
                tunnel::PATH => open_tunnel(&shared, source, request, &opened).await,
                _ => answer(&shared, source, request.uri(), &slot),
            };
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .keep_alive(false)
        .serve_connection(rt::TokioIo::new(stream), service)
        .with_upgrades()
        .await;
    let tunnel = tunnel.lock().unwrap_or_else(sync::PoisonError::into_inner).take();
    if let Some(tunnel) = tunnel {
        tunnel.run().await;
        return;
    }
    let mut held = held.lock().unwrap_or_else(sync::PoisonError::into_inner);
    if let Some(slot) = held.as_mut().filter(|_| served.is_ok()) {
        slot.set_complete();
    }
}

/// Opens the tunnel that a member asks for; it is run once the answer was sent.
async fn open_tunnel(
    shared: &sync::Arc<state::Shared>,
    source: net::IpAddr,
    request: hyper::Request<body::Incoming>,
    opened: &HeldTunnel,
) -> Response {
    let query = Query::parse(request.uri());
    let Some(query) = query.filter(|query| is_member(shared, source, query)) else {
        return respond(StatusCode::FORBIDDEN, Bytes::new());
    };
    match tunnel::accept(shared, query.member, request).await {
        Ok(tunnel) => {
            *opened.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(tunnel);
            tunnel::Tunnel::switch_protocols()
        }
        Err(status) => respond(status, Bytes::new()),
    }
}

/// Returns whether a query comes from a member.
fn is_member(shared: &state::Shared, source: net::IpAddr, query: &Query) -> bool {
    query.member.ip() == source && shared.core().mesh.is_member(query.member)
}

fn answer(
    shared: &state::Shared,
    source: net::IpAddr,
    uri: &hyper::Uri,
    held: &HeldSlot,
) -> Response {
    let Some(query) = Query::parse(uri) else {
        return respond(StatusCode::BAD_REQUEST, Bytes::new());
    };
    // The configuration contains the API keys, so only members may read it.
    if !is_member(shared, source, &query) {
        return respond(StatusCode::FORBIDDEN, Bytes::new());
    }
    let (current, base) = {
        let core = shared.core();
        (core.table.clone(), query.since.and_then(|since| core.table_of_version(since)))
    };
    let newer = current.filter(|table| Some(table.config().version) > query.since);
    let Some(table) = newer else { return respond(StatusCode::NO_CONTENT, Bytes::new()) };
    let slot = match shared.transfers.slots.begin(table.config().version, query.member) {
        Ok(slot) => slot,
        Err(holders) => {
            let holders = rmp_serde::to_vec(&holders).unwrap_or_default();
            return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::from(holders));
        }
    };
    let base = base.as_ref().map(|table| table.config());
    match shared.transfers.patches.get(base, table.config()) {
        Ok(patch) => {
            *held.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(slot);
            respond(StatusCode::OK, patch)
        }
        Err(error) => {
            log::error!("the configuration is not passed on: {error}");
            respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response {
    let mut response = hyper::Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// What a client asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Query {
    /// The version that the client has.
    since: Option<u64>,
    /// The client's address for messages.
    member: net::SocketAddr,
}

impl Query {
    fn parse(uri: &hyper::Uri) -> Option<Self> {
        if ![config_transfer::PATH, tunnel::PATH].contains(&uri.path()) {
            return None;
        }
        let query = uri.query()?;
        let value = |name: &str| {
            let mut parameters = query.split('&').filter_map(|part| part.split_once('='));
            parameters.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let since = match value("since") {
            Some(version) => Some(version.parse().ok()?),
            None => None,
        };
        Some(Self { since, member: value("member")?.parse().ok()? })
    }
}
