//! Limits the memory for answers that are read as a whole.

use std::{error, pin, sync, sync::atomic, task};

use bytes::Bytes;
use hyper::{body, body::Body as _};

use crate::upstream;

/// The largest answer that is buffered, in bytes; twice the default limit on callers' bodies.
const MAX_ANSWER: usize = 8 << 20;

/// The largest number of bytes of all answers that are being buffered.
const MAX_TOTAL: usize = 24 << 20;

/// An answer up to this length in bytes is buffered however many others are.
const ALWAYS_ALLOWED: usize = 64 << 10;

/// The number of bytes of all answers that are being buffered. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct BufferedBytes {
    total: sync::Arc<atomic::AtomicUsize>,
}

impl BufferedBytes {
    /// Returns a body that fails once it is too long, or all that are buffered together are.
    pub(crate) fn limit(&self, body: upstream::AnswerBody) -> BufferedBody {
        BufferedBody { body, length: 0, buffered: self.clone() }
    }
}

/// The error for an answer that is not buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum BufferError {
    #[error("the answer is longer than 8 MiB")]
    TooLong,
    #[error("the answers that are being read are longer than 24 MiB together")]
    Full,
}

/// A body of limited length that is read as a whole.
pub(crate) struct BufferedBody {
    body: upstream::AnswerBody,
    /// The number of bytes read so far.
    length: usize,
    buffered: BufferedBytes,
}

impl BufferedBody {
    /// Returns whether the stated length of the body is too long.
    fn is_too_long(&self) -> bool {
        self.body.size_hint().lower() > MAX_ANSWER as u64
    }

    fn add(&mut self, length: usize) -> Result<(), BufferError> {
        self.length += length;
        let total = self.buffered.total.fetch_add(length, atomic::Ordering::Relaxed) + length;
        if self.length > MAX_ANSWER {
            return Err(BufferError::TooLong);
        }
        if self.length > ALWAYS_ALLOWED && total > MAX_TOTAL {
            return Err(BufferError::Full);
        }
        Ok(())
    }
}

impl body::Body for BufferedBody {
    type Data = Bytes;
    type Error = Box<dyn error::Error + Send + Sync>;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, Self::Error>>> {
        if self.is_too_long() {
            return task::Poll::Ready(Some(Err(BufferError::TooLong.into())));
        }
        let frame = task::ready!(pin::Pin::new(&mut self.body).poll_frame(context));
        let Some(frame) = frame else { return task::Poll::Ready(None) };
        let frame = frame?;
        let length = frame.data_ref().map_or(0, Bytes::len);
        task::Poll::Ready(Some(self.add(length).map(|()| frame).map_err(Into::into)))
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.buffered.total.fetch_sub(self.length, atomic::Ordering::Relaxed);
    }
}
