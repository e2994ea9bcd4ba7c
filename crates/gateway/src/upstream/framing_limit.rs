//! Limits what an endpoint may send in place of an answer.

use std::{io, pin, sync, sync::atomic, task};

use bytes::Bytes;
use hyper::body;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::{upstream, upstream::reset_watch};

/// The largest number of bytes that may arrive without any of a body among them: interim answers, a head,
/// or the framing between two parts of a body. It covers what is read ahead of the part that is passed on.
const MAX_FRAMING: usize = 4 * upstream::MAX_HEAD;

/// The number of bytes that have arrived since the last part of a body. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct FramingCount {
    bytes: sync::Arc<atomic::AtomicUsize>,
}

impl FramingCount {
    pub(super) fn reset(&self) {
        self.bytes.store(0, atomic::Ordering::Relaxed);
    }

    fn add(&self, length: usize) -> io::Result<()> {
        let bytes = self.bytes.fetch_add(length, atomic::Ordering::Relaxed) + length;
        if bytes > MAX_FRAMING {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes without a body",
            ));
        }
        Ok(())
    }
}

/// How much of a request has been written. Clones share it.
#[derive(Clone, Debug, Default)]
pub(super) struct SentCount {
    bytes: sync::Arc<atomic::AtomicUsize>,
    /// Whether the last write has left bytes unwritten.
    is_blocked: sync::Arc<atomic::AtomicBool>,
}

impl SentCount {
    pub(super) fn reset(&self) {
        self.bytes.store(0, atomic::Ordering::Relaxed);
        self.is_blocked.store(false, atomic::Ordering::Relaxed);
    }

    /// Returns whether a request whose body has `length` bytes was written as a whole.
    pub(super) fn is_whole(&self, length: usize) -> bool {
        !self.is_blocked.load(atomic::Ordering::Relaxed)
            && self.bytes.load(atomic::Ordering::Relaxed) > length
    }

    /// Returns whether the request is long and no part of it waits to be written.
    fn is_long(&self) -> bool {
        !self.is_blocked.load(atomic::Ordering::Relaxed)
            && self.bytes.load(atomic::Ordering::Relaxed) >= reset_watch::LONG_REQUEST
    }

    /// Records the result of a write of `length` bytes.
    fn record(&self, length: usize, result: &task::Poll<io::Result<usize>>) {
        let written = match result {
            task::Poll::Ready(Ok(written)) => *written,
            _ => 0,
        };
        self.bytes.fetch_add(written, atomic::Ordering::Relaxed);
        self.is_blocked.store(written < length, atomic::Ordering::Relaxed);
    }
}

/// Returns the pending error of a byte stream.
pub(super) type TakeError<S> = fn(&S) -> io::Result<Option<io::Error>>;

/// A byte stream whose reads fail when too many bytes have arrived without any of a body, and which counts what
/// is written.
///
/// Its end after a long request shows only once the stream was watched for a reset.
pub(super) struct LimitedStream<S> {
    pub(super) stream: S,
    pub(super) count: FramingCount,
    pub(super) sent: SentCount,
    /// `None` if the stream is not watched.
    pub(super) take_error: Option<TakeError<S>>,
    pub(super) watch: reset_watch::ResetWatch,
    /// Set when the endpoint has ended its side.
    pub(super) has_ended: sync::Arc<atomic::AtomicBool>,
}

impl<S> LimitedStream<S> {
    /// Handles the end of the endpoint's side.
    fn poll_end(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        self.has_ended.store(true, atomic::Ordering::Relaxed);
        match self.take_error.filter(|_| self.sent.is_long()) {
            Some(take_error) => self.watch.poll(context, || take_error(&self.stream)),
            None => task::Poll::Ready(Ok(())),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        task::ready!(pin::Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let length = buffer.filled().len() - before;
        if length == 0 && buffer.remaining() > 0 {
            return self.poll_end(context);
        }
        task::Poll::Ready(self.count.add(length))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.sent.record(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.sent.record(slices.iter().map(|slice| slice.len()).sum(), &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// The body of an endpoint's answer. It fails when too many bytes arrive between two of its parts.
pub(crate) struct AnswerBody {
    pub(super) body: body::Incoming,
    pub(super) count: FramingCount,
}

impl body::Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, hyper::Error>>> {
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(context));
        if matches!(&frame, Some(Ok(frame)) if frame.is_data()) {
            self.count.reset();
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}
