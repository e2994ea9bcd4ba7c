//! The connecting side of a peer connection.

use std::net;

use futures::future::{BoxFuture, FutureExt};
use http_body_util::Empty;
use hyper_util::rt;
use tarpc::transport::channel;
use tokio::{io::AsyncWriteExt, net as tokio_net, time};
use tokio_util::sync;
use trefoildyke_types::id;

use crate::peer::{
    Error, Identity, Limits, PROTOCOL, PeerClient, Role, Transcript, calls, frame_io, headers,
};

type Socket = rt::TokioIo<hyper::upgrade::Upgraded>;

/// An open connection to a peer.
pub struct Connection {
    /// The client for calls over this connection.
    pub client: PeerClient,
    /// The peer's incarnation.
    pub incarnation: id::Incarnation,
    /// A future that transfers the messages. The caller must run it; the connection ends with it.
    ///
    /// Dropping the future closes the connection and fails the calls in flight.
    pub driver: BoxFuture<'static, Result<(), Error>>,
}

/// Opens a connection to the daemon at `address`.
///
/// Fails if the peer has another incarnation than `expected`; `None` accepts any incarnation.
///
/// # Errors
///
/// An [`Error`] that says, for example, whether the address, the key or the incarnation is wrong.
pub async fn connect(
    address: net::SocketAddr,
    expected: Option<id::Incarnation>,
    identity: &Identity,
    limits: Limits,
) -> Result<Connection, Error> {
    let handshake = perform_handshake(address, expected, identity);
    let (socket, incarnation) = time::timeout(limits.handshake(), handshake)
        .await
        .map_err(|_| Error::HandshakeTimeout)??;
    let (client_end, frame_end) = channel::bounded(frame_io::QUEUE_CAPACITY);
    let new_client = tarpc::client::new(tarpc::client::Config::default(), client_end);
    let dispatch = new_client.dispatch;
    let clock = identity.clock.clone();
    let ended = sync::CancellationToken::new();
    let client = PeerClient::from(calls::Calls::new(new_client.client, ended.clone()));
    let guard = ended.drop_guard();
    let driver = async move {
        let _guard = guard;
        tokio::select! {
            result = frame_io::run(socket, frame_end, limits, &clock) => result,
            _ = dispatch => Ok(()),
        }
    };
    Ok(Connection { client, incarnation, driver: driver.boxed() })
}

async fn perform_handshake(
    address: net::SocketAddr,
    expected: Option<id::Incarnation>,
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
    check_incarnation(expected, answer.incarnation)?;
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
    let (response, result) =
        futures::join!(sender.send_request(request), connection.with_upgrades());
    let response = response?;
    result?;
    match response.status() {
        http::StatusCode::SWITCHING_PROTOCOLS => Ok(response),
        status => Err(Error::Handshake(format!("status {status} in place of {PROTOCOL}"))),
    }
}

fn check_incarnation(
    expected: Option<id::Incarnation>,
    found: id::Incarnation,
) -> Result<(), Error> {
    match expected {
        Some(expected) if expected != found => Err(Error::WrongIncarnation { expected, found }),
        _ => Ok(()),
    }
}
