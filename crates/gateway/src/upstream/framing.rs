//! The framing that the head of an answer states.

use hyper::{HeaderMap, header};

/// Returns what is wrong with the stated length or transfer coding of an answer, if anything is.
///
/// An answer whose length is ambiguous comes from a faulty endpoint, and its bytes may belong to another answer
/// (RFC 9112, section 6.3). A single length is checked by the HTTP library.
pub(super) fn fault(headers: &HeaderMap) -> Option<&'static str> {
    let has_length = headers.contains_key(header::CONTENT_LENGTH);
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    if let Some(coding) = codings.next() {
        let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
        if has_length {
            return Some("a length beside a transfer coding");
        }
        if !is_chunked || codings.next().is_some() {
            return Some("a transfer coding other than chunked");
        }
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next()?;
    if lengths.next().is_some() || !length.as_bytes().iter().all(u8::is_ascii_digit) {
        return Some("a length that is not one number");
    }
    None
}
