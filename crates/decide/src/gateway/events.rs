//! Splitting a stream of bytes into complete events.

use bytes::{Bytes, BytesMut};

/// Passes on complete events and holds back the bytes of an incomplete one.
///
/// A stream that breaks off therefore ends after a complete event and can be resumed there. Events have
/// increasing ids; bytes that bring no new id for too long are no stream of events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    /// The number of bytes passed on since the last new id.
    unnumbered: usize,
}

/// The maximum length in bytes of an event and what precedes it without a new id, a thousand times the usual
/// length.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The error for a stream in which no event with a new id ends within the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no event with a new id ended within 256 KiB")]
pub struct EventTooLong;

/// The byte sequences that end an event.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

/// The length of the longest of these sequences, in bytes.
const MAX_END_BYTES: usize = 4;

impl EventSplitter {
    /// Adds bytes to the stream and returns the complete events among the bytes held so far, if
    /// any.
    ///
    /// # Errors
    ///
    /// Fails if no event with a new id ends within 256 KiB.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let events = if self.partial.is_empty() && EVENT_ENDS.iter().any(|end| bytes.ends_with(end))
        {
            bytes
        } else {
            // The bytes held so far contain no end, but it may begin among them.
            let from = self.partial.len().saturating_sub(MAX_END_BYTES - 1);
            self.partial.extend_from_slice(&bytes);
            let end = EVENT_ENDS.iter().filter_map(|end| {
                let start = memchr::memmem::rfind(&self.partial[from..], end);
                start.map(|start| from + start + end.len())
            });
            match end.max() {
                Some(end) => self.partial.split_to(end).freeze(),
                None if self.unnumbered + self.partial.len() > MAX_EVENT_BYTES => {
                    return Err(EventTooLong);
                }
                None => return Ok(None),
            }
        };
        if self.record_id(&events) {
            self.unnumbered = 0;
            return Ok(Some(events));
        }
        self.unnumbered += events.len();
        if self.unnumbered > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(Some(events))
    }

    /// Returns the length of the buffer of an incomplete event, in bytes.
    pub fn buffer_len(&self) -> usize {
        if self.partial.is_empty() { 0 } else { self.partial.capacity() }
    }

    /// Returns whether the stream currently ends within an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards an incomplete event, so that another source can continue the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.unnumbered = 0;
    }

    /// Returns the id of the last complete event that had one.
    pub fn last(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Records the last id among `events`; returns whether it is new.
    fn record_id(&mut self, events: &[u8]) -> bool {
        // Only the beginnings of lines count, because the data may contain the same characters.
        let id = events.rsplit(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
        let Some(Ok(id)) = id.map(std::str::from_utf8) else { return false };
        let id = Some(id.trim().to_owned());
        let is_new = id != self.last_id;
        self.last_id = id;
        is_new
    }
}
