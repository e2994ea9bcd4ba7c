//! A connection to an endpoint.

use std::{net, sync, sync::atomic, time};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Body as _, client::conn::http1};
use hyper_util::rt;
use tokio::{io, task};
use trefoildyke_decide::gateway;
use trefoildyke_types::time::Timestamp;

use crate::{
    tunnel, upstream,
    upstream::{
        framing_limit::{AnswerBody, FramingCount, LimitedStream, SentCount, TakeError},
        reset_watch,
    },
};

/// The idle time before the first keep-alive probe, and the interval between probes. A connection whose
/// state was lost without a reset is detected within about three of these.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// How long written bytes may stay unacknowledged before the connection counts as broken.
const ACK_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);

/// The largest head of an answer, in bytes.
pub(super) const MAX_HEAD: usize = 64 << 10;

/// A connection to an endpoint; dropping it closes the connection at once, whatever is in progress.
pub(crate) struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: task::AbortHandle,
    framing: FramingCount,
    sent: SentCount,
    /// Whether the endpoint has ended its side.
    has_ended: sync::Arc<atomic::AtomicBool>,
    /// The length of the last request's body, in bytes.
    body_length: usize,
    /// When the connection was open.
    pub(crate) opened_at: Timestamp,
    /// Whether the connection may carry another request.
    reusable: bool,
    /// How long the endpoint keeps the connection open while it is idle.
    pub(super) idle_limit: Option<time::Duration>,
    /// Until when this idle connection may be used again.
    pub(super) idle_until: Option<tokio::time::Instant>,
}

impl Connection {
    /// Begins HTTP on a byte stream that was open at `opened_at`. With `take_error`, the stream is watched for a
    /// reset after its end.
    pub(super) async fn begin<S: io::AsyncRead + io::AsyncWrite + Unpin + Send + 'static>(
        pool: &upstream::ConnectionPool,
        opened_at: Timestamp,
        stream: S,
        take_error: Option<TakeError<S>>,
    ) -> std::io::Result<Self> {
        let framing = FramingCount::default();
        let sent = SentCount::default();
        let has_ended = sync::Arc::new(atomic::AtomicBool::new(false));
        let stream = LimitedStream {
            stream,
            count: framing.clone(),
            sent: sent.clone(),
            take_error,
            watch: reset_watch::ResetWatch::default(),
            has_ended: sync::Arc::clone(&has_ended),
        };
        let handshake =
            http1::Builder::new().max_buf_size(MAX_HEAD).handshake(rt::TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(std::io::Error::other)?;
        let driver = pool.spawn(async move {
            // An error of the connection shows at its request.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            framing,
            sent,
            has_ended,
            body_length: 0,
            opened_at,
            reusable: true,
            idle_limit: None,
            idle_until: None,
        })
    }

    /// Sends a request. On failure, the flag tells whether no byte of the request was written.
    pub(super) async fn send(
        &mut self,
        request: hyper::Request<Full<Bytes>>,
    ) -> Result<hyper::Response<AnswerBody>, (hyper::Error, bool)> {
        self.framing.reset();
        self.sent.reset();
        self.body_length = request.body().size_hint().lower() as usize;
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut failed| {
            let unsent = failed.take_message().is_some();
            (failed.into_error(), unsent)
        })?;
        self.framing.reset();
        Ok(response.map(|body| AnswerBody { body, count: self.framing.clone() }))
    }

    /// Returns whether the last request was written as a whole.
    ///
    /// An endpoint that has not read all of a request resets the connection when it closes it, but the end of its
    /// own side may arrive before that.
    pub(crate) fn has_sent_request(&self) -> bool {
        self.sent.is_whole(self.body_length)
    }

    /// Prevents another request on this connection.
    pub(crate) const fn forbid_reuse(&mut self) {
        self.reusable = false;
    }

    pub(super) fn is_usable(&self) -> bool {
        let has_ended = self.has_ended.load(atomic::Ordering::Relaxed);
        self.reusable && !has_ended && self.sender.is_ready()
    }

    pub(super) const fn is_reusable(&self) -> bool {
        self.reusable
    }
}

/// Returns what an error of a connection, or of an answer's body on it, means for the request.
pub(crate) fn classify_error(error: &hyper::Error) -> gateway::Failure {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    // A forwarding daemon that ends says nothing of the endpoint.
    let is_interrupted = |source: &std::io::Error| {
        source.get_ref().is_some_and(|error| error.is::<tunnel::Interrupted>())
    };
    let is_invalid = |source: &std::io::Error| {
        matches!(source.kind(), std::io::ErrorKind::InvalidData | std::io::ErrorKind::InvalidInput)
            || is_interrupted(source)
    };
    if error.is_parse() || source.is_some_and(is_invalid) {
        return gateway::Failure::Lost;
    }
    gateway::Failure::Cut
}

/// Returns the next part of a body; `None` at its end.
pub(crate) async fn next_part(body: &mut AnswerBody) -> Option<hyper::Result<Bytes>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(bytes) = frame.into_data() {
                    return Some(Ok(bytes));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a TCP connection within `limit`.
pub(crate) async fn connect(
    address: net::SocketAddr,
    limit: time::Duration,
) -> std::io::Result<tokio::net::TcpStream> {
    let stream = tokio::time::timeout(limit, tokio::net::TcpStream::connect(address)).await??;
    configure(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection that carries requests.
///
/// Closing it discards what was not sent yet, so that a request that was given up does not arrive later.
pub(crate) fn configure(stream: &tokio::net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}
