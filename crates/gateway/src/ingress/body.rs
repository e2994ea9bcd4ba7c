//! Bodies of answers to callers.

use bytes::Bytes;
use futures::Stream;
use http_body_util::{BodyExt as _, Full, StreamBody, combinators};
use hyper::body::Frame;

/// Signals that an answer was aborted; the connection is closed so that the answer does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off")]
pub(crate) struct Aborted;

/// The body of an answer.
pub(crate) type Body = combinators::UnsyncBoxBody<Bytes, Aborted>;

/// Returns a body whose bytes are all known.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that is streamed in parts.
pub(crate) fn frames(parts: impl Stream<Item = Result<Bytes, Aborted>> + Send + 'static) -> Body {
    use futures::StreamExt as _;
    StreamBody::new(parts.map(|part| part.map(Frame::data))).boxed_unsync()
}
