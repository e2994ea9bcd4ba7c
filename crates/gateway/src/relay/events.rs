//! Cutting a stream of bytes into whole events.

use bytes::{Bytes, BytesMut};

/// Holds back the bytes of an event that is not complete yet.
#[derive(Debug, Default)]
pub(super) struct Events {
    tail: BytesMut,
    last: Option<String>,
}

/// The bytes that end an event.
const ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];

impl Events {
    /// Takes in bytes and returns the whole events among all that was held back, if any.
    pub(super) fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let whole = if self.tail.is_empty() && ENDS.iter().any(|end| bytes.ends_with(end)) {
            bytes
        } else {
            self.tail.extend_from_slice(&bytes);
            let end = ENDS.iter().filter_map(|end| {
                memchr::memmem::rfind(&self.tail, end).map(|start| start + end.len())
            });
            self.tail.split_to(end.max()?).freeze()
        };
        self.note_id(&whole);
        Some(whole)
    }

    /// Says whether the stream broke off within an event.
    pub(super) fn is_cut(&self) -> bool {
        !self.tail.is_empty()
    }

    /// Forgets an incomplete event.
    pub(super) fn drop_tail(&mut self) {
        self.tail.clear();
    }

    /// Returns the id of the last whole event.
    pub(super) fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }

    fn note_id(&mut self, whole: &[u8]) {
        let Some(start) = memchr::memmem::rfind(whole, b"id:") else { return };
        let at_line = start == 0 || matches!(whole[start - 1], b'\n' | b'\r');
        let rest = &whole[start + 3..];
        let end = memchr::memchr2(b'\n', b'\r', rest).unwrap_or(rest.len());
        if let (true, Ok(id)) = (at_line, std::str::from_utf8(&rest[..end])) {
            self.last = Some(id.trim().to_owned());
        }
    }
}
