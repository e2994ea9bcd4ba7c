//! The accepting side of peer connections.

use std::{io, sync};

use futures::StreamExt;
use http_body_util::Empty;
use hyper::service;
use hyper_util::rt;
use tarpc::{server::Channel, transport::channel};
use tokio::{io::AsyncReadExt, net, sync as tokio_sync, task, time};
use tokio_util::sync::CancellationToken;
use trefoildyke_types::id;

use crate::peer::{
    Caller, Clock, Error, Keys, Limits, Methods, Peer, Role, Transcript, frame_io, handshake,
    headers, methods,
};

/// The pause after a failed accept, whose most frequent cause is a lack of file descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

type Socket = rt::TokioIo<hyper::upgrade::Upgraded>;

/// The identity of this daemon and the keys that prove it.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The daemon's incarnation.
    pub incarnation: id::Incarnation,
    /// The shared keys.
    pub keys: Keys,
    /// The logical clock whose time every message carries.
    pub clock: Clock,
}

struct Context {
    identity: Identity,
    limits: Limits,
    methods: sync::Arc<Methods>,
}

/// Serves peers on `listener` until `stop` is cancelled and every connection has ended.
///
/// # Errors
///
/// Never returns an error. A failed connection is logged and does not affect the others.
pub async fn serve(
    listener: net::TcpListener,
    identity: Identity,
    limits: Limits,
    methods: Methods,
    stop: CancellationToken,
) -> io::Result<()> {
    let context = sync::Arc::new(Context { identity, limits, methods: sync::Arc::new(methods) });
    let slots = sync::Arc::new(tokio_sync::Semaphore::new(limits.connections));
    let mut tasks = task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = tasks.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A connection above the limit is closed at once; the peer tries again later.
        if let Ok(slot) = sync::Arc::clone(&slots).try_acquire_owned() {
            let context = sync::Arc::clone(&context);
            let stop = stop.clone();
            tasks.spawn(async move {
                let _slot = slot;
                tokio::select! {
                    () = stop.cancelled() => {}
                    result = serve_connection(stream, &context) => log_result(result),
                }
            });
        }
    }
    while tasks.join_next().await.is_some() {}
    Ok(())
}

fn log_result(result: Result<(), Error>) {
    match result {
        Ok(()) | Err(Error::Closed) => {}
        Err(error) => log::info!(target: "peer", "connection from a peer ended: {error}"),
    }
}

/// Serves one connection from the handshake to its end.
async fn serve_connection(stream: net::TcpStream, context: &Context) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let handshake = perform_handshake(stream, context);
    let (socket, caller) = time::timeout(context.limits.handshake(), handshake)
        .await
        .map_err(|_| Error::HandshakeTimeout)??;
    let (server_end, frame_end) = channel::bounded(frame_io::QUEUE_CAPACITY);
    let server = methods::Server { caller, methods: sync::Arc::clone(&context.methods) };
    let calls = tarpc::server::BaseChannel::with_defaults(server_end)
        .max_concurrent_requests(context.limits.calls)
        .execute(server.serve())
        .for_each_concurrent(None, |call| call);
    tokio::select! {
        result = frame_io::run(socket, frame_end, context.limits, &context.identity.clock) => result,
        () = calls => Ok(()),
    }
}

async fn perform_handshake(
    stream: net::TcpStream,
    context: &Context,
) -> Result<(Socket, Caller), Error> {
    let (upgrade, transcript) = accept(stream, context).await?;
    let mut socket = rt::TokioIo::new(upgrade.await?);
    let mut proof = handshake::Proof::default();
    socket.read_exact(&mut proof).await?;
    if !transcript.verify(&context.identity.keys, Role::Client, &proof) {
        return Err(Error::WrongKey);
    }
    Ok((socket, Caller { incarnation: transcript.client }))
}

type AcceptedUpgrade = (hyper::upgrade::OnUpgrade, Transcript);

/// Answers the upgrade request and returns the pending upgrade and the transcript.
async fn accept(stream: net::TcpStream, context: &Context) -> Result<AcceptedUpgrade, Error> {
    let accepted_upgrade = sync::Mutex::new(None);
    let service = service::service_fn(|request| {
        let upgrade_response = upgrade_response(request, context).map(|(response, accepted)| {
            *accepted_upgrade.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(accepted);
            response
        });
        async move { Ok::<_, Error>(upgrade_response.unwrap_or_else(|error| refuse(&error))) }
    });
    hyper::server::conn::http1::Builder::new()
        .keep_alive(false)
        .serve_connection(rt::TokioIo::new(stream), service)
        .with_upgrades()
        .await?;
    let accepted_upgrade =
        accepted_upgrade.into_inner().unwrap_or_else(sync::PoisonError::into_inner);
    accepted_upgrade.ok_or_else(|| Error::Handshake("no upgrade was asked for".to_owned()))
}

fn upgrade_response(
    mut request: http::Request<hyper::body::Incoming>,
    context: &Context,
) -> Result<(http::Response<Empty<bytes::Bytes>>, AcceptedUpgrade), Error> {
    if request.uri().path() != headers::PATH || request.method() != http::Method::GET {
        return Err(Error::Handshake("the request is not GET /peer".to_owned()));
    }
    let hello = headers::read_hello(request.headers())?;
    let own_hello =
        headers::Hello { incarnation: context.identity.incarnation, nonce: rand::random() };
    let transcript = Transcript {
        client: hello.incarnation,
        server: own_hello.incarnation,
        client_nonce: hello.nonce,
        server_nonce: own_hello.nonce,
    };
    let mut response = http::Response::new(Empty::new());
    *response.status_mut() = http::StatusCode::SWITCHING_PROTOCOLS;
    headers::write_hello(response.headers_mut(), &own_hello)?;
    let proof = transcript.prove(&context.identity.keys, Role::Server);
    headers::write_proof(response.headers_mut(), &proof)?;
    Ok((response, (hyper::upgrade::on(&mut request), transcript)))
}

fn refuse(error: &Error) -> http::Response<Empty<bytes::Bytes>> {
    log::info!(target: "peer", "refused a connection: {error}");
    let mut response = http::Response::new(Empty::new());
    *response.status_mut() = http::StatusCode::BAD_REQUEST;
    response
}
