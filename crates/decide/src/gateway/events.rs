//! Splitting a stream of bytes into complete events.

use bytes::{Bytes, BytesMut};

/// Passes on complete events and holds back the bytes of an incomplete one.
///
/// A stream that breaks off therefore ends after a complete event and can be resumed there.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

/// The maximum length of an event in bytes, a thousand times the usual length.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The error for an event that exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than 256 KiB")]
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
    /// Fails if an event is longer than 256 KiB.
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
                None if self.partial.len() > MAX_EVENT_BYTES => return Err(EventTooLong),
                None => return Ok(None),
            }
        };
        self.record_id(&events);
        Ok(Some(events))
    }

    /// Returns whether the stream currently ends within an event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last complete event that had one.
    pub fn last(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    fn record_id(&mut self, events: &[u8]) {
        // Only the beginnings of lines count, because the data may contain the same characters.
        let id = events.rsplit(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
        if let Some(Ok(id)) = id.map(std::str::from_utf8) {
            self.last_id = Some(id.trim().to_owned());
        }
    }
}
