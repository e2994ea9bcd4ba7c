//! The connecting side of a peer connection.

use std::net;

use futures::future::{BoxFuture, FutureExt};
use http_body_util::Empty;
use hyper_util::rt;
use tarpc::transport::channel;
use tokio::{io::AsyncWriteExt, net as tokio_net, time};
use trefoildyke_types::id;

use crate::peer::{Error, Identity, Limits, PROTOCOL, PeerClient, Role, Transcript, headers, pump};

type Socket = rt::TokioIo<hyper::upgrade::Upgraded>;

/// Holds an open connection to a peer.
pub struct Connection {
    /// Makes the calls.
    pub client: PeerClient,
    /// The incarnation at the other end.
    pub incarnation: id::Incarnation,
    /// Moves the messages; the caller runs it and the connection ends with it.
    ///
    /// Dropping it closes the connection, and calls in flight then fail.
    pub driver: BoxFuture<'static, Result<(), Error>>,
}

/// Opens a connection to the daemon at `address`; `None` takes any incarnation there.
///
/// # Errors
///
/// An [`Error`] that says whether the address, the key or the incarnation is wrong.
pub async fn connect(
    address: net::SocketAddr,
    wanted: Option<id::Incarnation>,
    identity: &Identity,
    limits: Limits,
) -> Result<Connection, Error> {
    let handshake = shake(address, wanted, identity);
    let (socket, incarnation) = time::timeout(limits.handshake(), handshake)
        .await
        .map_err(|_| Error::HandshakeTimeout)??;
    let (near, far) = channel::bounded(pump::QUEUE);
    let new = PeerClient::new(tarpc::client::Config::default(), near);
    let dispatch = new.dispatch;
    let clock = identity.clock.clone();
    let driver = async move {
        tokio::select! {
            end = pump::run(socket, far, limits, &clock) => end,
            _ = dispatch => Ok(()),
        }
    };
    Ok(Connection { client: new.client, incarnation, driver: driver.boxed() })
}

async fn shake(
    address: net::SocketAddr,
    wanted: Option<id::Incarnation>,
    identity: &Identity,
) -> Result<(Socket, id::Incarnation), Error> {
    let hello = headers::Hello { incarnation: identity.incarnation, nonce: rand::random() };
    let response = upgrade(address, &hello).await?;
    let answer = headers::read_hello(response.headers())?;
    let transcript = Transcript {
        client: hello.incarnation,
        server: answer.incarnation,
        client_nonce: hello.nonce,
        server_nonce: answer.nonce,
    };
    let proof = headers::read_proof(response.headers())?;
    if !transcript.verify(&identity.keys, Role::Server, &proof) {
        return Err(Error::WrongKey);
    }
    check_incarnation(wanted, answer.incarnation)?;
    let upgraded = hyper::upgrade::on(response).await?;
    let mut socket = rt::TokioIo::new(upgraded);
    socket.write_all(&transcript.prove(&identity.keys, Role::Client)).await?;
    Ok((socket, answer.incarnation))
}

async fn upgrade(
    address: net::SocketAddr,
    hello: &headers::Hello,
) -> Result<http::Response<hyper::body::Incoming>, Error> {
    let stream = tokio_net::TcpStream::connect(address)
        .await
        .map_err(|source| Error::Connect { address, source })?;
    stream.set_nodelay(true)?;
    let io = rt::TokioIo::new(stream);
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await?;
    let mut request = http::Request::new(Empty::<bytes::Bytes>::new());
    *request.uri_mut() = http::Uri::from_static(headers::PATH);
    let host = http::HeaderValue::from_str(&address.to_string());
    request
        .headers_mut()
        .insert(http::header::HOST, host.map_err(|e| Error::Handshake(e.to_string()))?);
    headers::write_hello(request.headers_mut(), hello)?;
    let (response, end) = futures::join!(sender.send_request(request), connection.with_upgrades());
    let response = response?;
    end?;
    match response.status() {
        http::StatusCode::SWITCHING_PROTOCOLS => Ok(response),
        status => Err(Error::Handshake(format!("status {status} in place of {PROTOCOL}"))),
    }
}

fn check_incarnation(wanted: Option<id::Incarnation>, found: id::Incarnation) -> Result<(), Error> {
    match wanted {
        Some(wanted) if wanted != found => Err(Error::WrongIncarnation { wanted, found }),
        _ => Ok(()),
    }
}
