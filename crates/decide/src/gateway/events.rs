//! Cutting a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// Holds back the bytes of an event that is not complete yet.
///
/// A stream that breaks off then ends after a whole event, and can be resumed there.
#[derive(Clone, Debug, Default)]
pub struct Events {
    tail: BytesMut,
    last: Option<String>,
}

/// The longest event that is held back, in bytes: a thousand times a usual one.
const LONGEST: usize = 256 << 10;

/// Says that an event does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than 256 KiB")]
pub struct EventTooLong;

/// The bytes that end an event.
const ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

impl Events {
    /// Takes in bytes and returns the whole events among all that was held back, if any.
    ///
    /// # Errors
    ///
    /// Fails if an event is longer than 256 KiB.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        let whole = if self.tail.is_empty() && ENDS.iter().any(|end| bytes.ends_with(end)) {
            bytes
        } else {
            self.tail.extend_from_slice(&bytes);
            let end = ENDS.iter().filter_map(|end| {
                memchr::memmem::rfind(&self.tail, end).map(|start| start + end.len())
            });
            match end.max() {
                Some(end) => self.tail.split_to(end).freeze(),
                None if self.tail.len() > LONGEST => return Err(EventTooLong),
                None => return Ok(None),
            }
        };
        self.note_id(&whole);
        Ok(Some(whole))
    }

    /// Says whether the stream broke off within an event.
    pub fn is_cut(&self) -> bool {
        !self.tail.is_empty()
    }

    /// Forgets an incomplete event.
    pub fn drop_tail(&mut self) {
        self.tail.clear();
    }

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    fn note_id(&mut self, whole: &[u8]) {
        // Data may hold the same letters, so only the beginnings of lines count.
        let id = whole.rsplit(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
        if let Some(Ok(id)) = id.map(std::str::from_utf8) {
            self.last = Some(id.trim().to_owned());
        }
    }
}
