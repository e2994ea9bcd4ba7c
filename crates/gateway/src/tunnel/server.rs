//! Forwards connections of other daemons to endpoints.

use std::{io, net, sync, sync::atomic, time};

use hyper::{StatusCode, body, upgrade};
use hyper_util::rt;
use tokio::{io::AsyncWriteExt as _, net::tcp};
use trefoildyke_kernel as kernel;
use trefoildyke_types::id;

use crate::{record, state, tunnel, tunnel::frames, upstream};

/// The size of the buffer for bytes on their way to an endpoint.
const FORWARD_BUFFER: usize = 8 << 10;

/// A connection to an endpoint that another daemon has asked for.
pub(crate) struct Tunnel {
    shared: sync::Arc<state::Shared>,
    peer: net::SocketAddr,
    endpoint: id::EndpointName,
    stream: tokio::net::TcpStream,
    upgrade: upgrade::OnUpgrade,
    /// Keeps a graceful stop from cutting off the request.
    _pass: kernel::Pass,
}

/// Opens a connection to the endpoint that `request` of the member `peer` names.
///
/// # Errors
///
/// Returns the status of the answer if the endpoint is not listed, this daemon does not reach it, or stops.
pub(crate) async fn accept(
    shared: &sync::Arc<state::Shared>,
    peer: net::SocketAddr,
    request: hyper::Request<body::Incoming>,
) -> Result<Tunnel, StatusCode> {
    let name = request.headers().get(tunnel::ENDPOINT).and_then(|value| value.to_str().ok());
    let endpoint: id::EndpointName = name.ok_or(StatusCode::BAD_REQUEST)?.into();
    let address = {
        let core = shared.core();
        // An isolated daemon would have to ask others in turn.
        if core.links.is_isolated() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        core.roster.address(&endpoint).ok_or(StatusCode::NOT_FOUND)?
    };
    check_accepts(shared, &endpoint)?;
    let pass = shared.gate.enter().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
    let connected = upstream::connect(address, shared.settings.connect_timeout).await;
    shared.record_link(&endpoint, connected.is_ok());
    let stream = connected.map_err(|_| StatusCode::BAD_GATEWAY)?;
    // Another answer may have said so while the connection was opened.
    check_accepts(shared, &endpoint)?;
    let upgrade = upgrade::on(request);
    Ok(Tunnel { shared: sync::Arc::clone(shared), peer, endpoint, stream, upgrade, _pass: pass })
}

/// Checks whether the endpoint takes requests from this host, as far as this daemon knows.
fn check_accepts(shared: &state::Shared, endpoint: &id::EndpointName) -> Result<(), StatusCode> {
    let accepts = shared.core().accepts(shared.now(), endpoint);
    if accepts { Ok(()) } else { Err(tunnel::NOT_ACCEPTED) }
}

impl Tunnel {
    /// Answers that the connection is open.
    pub(crate) fn switch_protocols<B: Default>() -> hyper::Response<B> {
        let mut response = hyper::Response::new(B::default());
        *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
        let headers = response.headers_mut();
        let value = hyper::header::HeaderValue::from_static;
        headers.insert(hyper::header::CONNECTION, value("upgrade"));
        headers.insert(hyper::header::UPGRADE, value(tunnel::PROTOCOL));
        response
    }

    /// Copies bytes both ways until one side closes its connection.
    pub(crate) async fn run(self) {
        let started = tokio::time::Instant::now();
        let Ok(upgraded) = self.upgrade.await else { return };
        let Ok(parts) = upgraded.downcast::<rt::TokioIo<tokio::net::TcpStream>>() else { return };
        let ended = copy(parts.io.into_inner(), self.stream, &parts.read_buf).await;
        self.shared.journal.write(&record::Event::TunnelEnded {
            peer: self.peer,
            endpoint: self.endpoint,
            total_ms: started.elapsed().as_millis() as u64,
            error: ended.err().map(|error| error.to_string()),
        });
    }
}

/// Copies bytes between a daemon and an endpoint, those of the endpoint in frames; `first` are bytes of the
/// daemon that were already read.
///
/// The daemon's connection is reset if that of the endpoint fails, also soon after the end of a long request's answer,
/// or ends before the endpoint was sent all that the daemon has sent: an answer without a length would otherwise look
/// complete. The endpoint's connection is closed as soon as the daemon disconnects, which cancels its request.
async fn copy(
    mut daemon: tokio::net::TcpStream,
    mut endpoint: tokio::net::TcpStream,
    first: &[u8],
) -> io::Result<()> {
    daemon.set_nodelay(true)?;
    endpoint.write_all(first).await?;
    let ended = {
        let (from_daemon, mut to_daemon) = daemon.split();
        let (mut from_endpoint, to_endpoint) = endpoint.split();
        let progress = Progress::default();
        progress.sent.store(first.len(), atomic::Ordering::Relaxed);
        let check_end = async {
            let is_unread = matches!(from_daemon.try_read(&mut [0]), Ok(1..));
            if is_unread || progress.is_writing.load(atomic::Ordering::Relaxed) {
                return Err(io::Error::new(io::ErrorKind::BrokenPipe, "the request was not sent"));
            }
            if progress.sent.load(atomic::Ordering::Relaxed) < upstream::LONG_REQUEST {
                return Ok(());
            }
            upstream::watch_for_reset(|| to_endpoint.as_ref().take_error()).await
        };
        tokio::select! {
            sent = forward(&from_daemon, &to_endpoint, &progress) => sent,
            answered = frames::write_frames(&mut from_endpoint, &mut to_daemon, check_end) => answered,
        }
    };
    match ended {
        Ok(()) => daemon.shutdown().await,
        Err(error) => {
            socket2::SockRef::from(&daemon).set_linger(Some(time::Duration::ZERO))?;
            Err(error)
        }
    }
}

/// How far the bytes of a daemon have been sent to an endpoint.
#[derive(Debug, Default)]
struct Progress {
    /// Set while bytes that were read are not written.
    is_writing: atomic::AtomicBool,
    /// The number of bytes that were written.
    sent: atomic::AtomicUsize,
}

/// Copies the bytes of a daemon to an endpoint until the daemon ends its side.
async fn forward(
    daemon: &tcp::ReadHalf<'_>,
    endpoint: &tcp::WriteHalf<'_>,
    progress: &Progress,
) -> io::Result<()> {
    let mut buffer = vec![0; FORWARD_BUFFER];
    loop {
        daemon.readable().await?;
        let length = match daemon.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        progress.is_writing.store(true, atomic::Ordering::Relaxed);
        write_all(endpoint, &buffer[..length]).await?;
        progress.sent.fetch_add(length, atomic::Ordering::Relaxed);
        progress.is_writing.store(false, atomic::Ordering::Relaxed);
    }
}

async fn write_all(endpoint: &tcp::WriteHalf<'_>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        endpoint.writable().await?;
        match endpoint.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
