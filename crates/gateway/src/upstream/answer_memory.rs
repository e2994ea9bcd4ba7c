//! Limits the memory for what endpoints have sent and callers have not received.

use std::{sync, sync::atomic};

use bytes::{Bytes, BytesMut};
use hyper::body::Body as _;

use crate::upstream;

/// The largest answer that is buffered, in bytes; twice the default limit on callers' bodies.
const MAX_ANSWER: usize = 8 << 20;

/// A buffer of up to this length in bytes is small. A small answer is read however much memory is used.
const SMALL: usize = 64 << 10;

/// The memory for small buffers beyond the limit, so that long ones do not hold up short ones, in bytes.
const SMALL_RESERVE: usize = 4 << 20;

/// A buffer of up to this length in bytes is always allowed: usual answers and events are shorter.
const TINY: usize = 4 << 10;

/// The memory for answers that are read as a whole, until callers have received them, and for events that are
/// not complete. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory {
    used: sync::Arc<atomic::AtomicUsize>,
    /// The limit, in bytes.
    limit: usize,
}

/// A part of the memory for answers, given back when dropped.
#[derive(Debug)]
pub(crate) struct AnswerReservation {
    memory: AnswerMemory,
    length: usize,
}

/// The error for an answer that is not buffered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BufferError {
    #[error("the answer is longer than 8 MiB")]
    TooLong,
    #[error("the answers that are kept use up the memory for them")]
    Full,
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

impl AnswerMemory {
    /// Creates a memory of `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self { used: sync::Arc::default(), limit }
    }

    /// Returns an empty reservation.
    pub(crate) fn reserve(&self) -> AnswerReservation {
        AnswerReservation { memory: self.clone(), length: 0 }
    }

    /// Reads a body as a whole.
    ///
    /// # Errors
    ///
    /// Fails if the body is too long, the memory is used up, or the body breaks off.
    pub(crate) async fn read(
        &self,
        mut body: upstream::AnswerBody,
    ) -> Result<(Bytes, AnswerReservation), BufferError> {
        let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if stated > MAX_ANSWER {
            return Err(BufferError::TooLong);
        }
        let mut reservation = self.reserve();
        let mut bytes = BytesMut::with_capacity(stated);
        while let Some(part) = upstream::next_part(&mut body).await {
            let part = part?;
            let length = bytes.len() + part.len();
            if length > MAX_ANSWER {
                return Err(BufferError::TooLong);
            }
            if length > bytes.capacity() {
                // The buffer doubles, so that a long body without a stated length is copied only a few times.
                let capacity = length.max(2 * bytes.capacity()).min(MAX_ANSWER);
                reservation.resize_for_answer(capacity)?;
                bytes.reserve(capacity - bytes.len());
            }
            reservation.resize_for_answer(length.max(reservation.length))?;
            bytes.extend_from_slice(&part);
        }
        Ok((bytes.freeze(), reservation))
    }
}

impl AnswerReservation {
    /// Changes the length of the buffer to `length` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the buffer grows and the memory is used up.
    pub(crate) fn resize(&mut self, length: usize) -> Result<(), BufferError> {
        let before = std::mem::replace(&mut self.length, length);
        if length <= before {
            self.memory.used.fetch_sub(before - length, atomic::Ordering::Relaxed);
            return Ok(());
        }
        let added = length - before;
        let used = self.memory.used.fetch_add(added, atomic::Ordering::Relaxed) + added;
        let reserve = if length > SMALL { 0 } else { SMALL_RESERVE };
        let is_full = length > TINY && used > self.memory.limit + reserve;
        if is_full { Err(BufferError::Full) } else { Ok(()) }
    }

    /// Changes the length of the buffer of a whole answer.
    fn resize_for_answer(&mut self, length: usize) -> Result<(), BufferError> {
        let resized = self.resize(length);
        if length > SMALL { resized } else { Ok(()) }
    }
}

impl Drop for AnswerReservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.length, atomic::Ordering::Relaxed);
    }
}
