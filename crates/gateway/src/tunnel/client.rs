//! Opens connections to endpoints through other daemons.

use std::{io, net, sync, time};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::{StatusCode, client::conn::http1, header, upgrade};
use hyper_util::rt;
use rand::seq::SliceRandom as _;
use tokio::io::{AsyncRead, AsyncWrite};
use trefoildyke_types::id;

use crate::{record, state, tunnel, tunnel::frames};

/// The number of daemons that are asked for one connection.
const MAX_PEERS: usize = 3;

/// How long it may take to open a connection to another daemon: about thirty round trips within a region.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How much longer than its own attempt the answer of another daemon may take.
const REPLY_MARGIN: time::Duration = time::Duration::from_millis(200);

/// Opens a connection to an endpoint through another daemon, for the request `id`.
///
/// # Errors
///
/// Returns an error if none of the daemons that were asked reaches the endpoint. Nothing was sent to it then.
pub(crate) async fn open(
    shared: &sync::Arc<state::Shared>,
    id: &str,
    endpoint: &id::EndpointName,
) -> io::Result<impl AsyncRead + AsyncWrite + Send + Unpin + use<>> {
    let mut last = io::Error::other("no other daemon can be asked");
    for peer in peers(shared) {
        let limit = shared.settings.connect_timeout + REPLY_MARGIN;
        let opened = tokio::time::timeout(limit, open_through(shared, peer, endpoint)).await;
        match opened.unwrap_or_else(|elapsed| Err(elapsed.into())) {
            Ok(upgraded) => {
                let (id, endpoint) = (id.to_owned(), endpoint.clone());
                shared.journal.write(&record::Event::Tunnel { id, endpoint, through: peer });
                let (reader, writer) = tokio::io::split(rt::TokioIo::new(upgraded));
                return Ok(tokio::io::join(frames::read_frames(reader), writer));
            }
            Err(error) => {
                // Such a daemon may still reach the other endpoints.
                if error.kind() != io::ErrorKind::PermissionDenied {
                    shared.core().links.avoid(shared.now(), peer);
                }
                last = io::Error::new(error.kind(), format!("through {peer}: {error}"));
            }
        }
    }
    Err(last)
}

/// Returns the daemons to ask, in random order so that the load is spread.
fn peers(shared: &state::Shared) -> Vec<net::SocketAddr> {
    let (now, core) = (shared.now(), shared.core());
    let mut peers = core.mesh.others();
    peers.retain(|peer| core.links.may_forward(now, *peer));
    drop(core);
    peers.shuffle(&mut rand::rng());
    peers.truncate(MAX_PEERS);
    peers
}

async fn open_through(
    shared: &sync::Arc<state::Shared>,
    peer: net::SocketAddr,
    endpoint: &id::EndpointName,
) -> io::Result<upgrade::Upgraded> {
    let connect = tokio::net::TcpStream::connect(peer);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, connect).await??;
    crate::upstream::configure(&stream)?;
    let handshake = http1::Builder::new().handshake(rt::TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
    shared.connections.spawn(async move {
        // An error of the connection shows at its request.
        let _ = connection.with_upgrades().await;
    });
    let own = shared.settings.listen.peers;
    let request = hyper::Request::get(format!("{}?member={own}", tunnel::PATH))
        .header(header::HOST, peer.to_string())
        .header(header::CONNECTION, "upgrade")
        .header(header::UPGRADE, tunnel::PROTOCOL)
        .header(tunnel::ENDPOINT, endpoint.as_str())
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let response = sender.send_request(request).await.map_err(io::Error::other)?;
    if response.status() == tunnel::NOT_ACCEPTED {
        let reason = "the endpoint takes no requests from it";
        return Err(io::Error::new(io::ErrorKind::PermissionDenied, reason));
    }
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(io::Error::other(format!("answered {}", response.status().as_u16())));
    }
    upgrade::on(response).await.map_err(io::Error::other)
}
