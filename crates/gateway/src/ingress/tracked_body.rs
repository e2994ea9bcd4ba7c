//! Bodies of whole answers that tell when the HTTP library has taken them.

use std::{pin, task};

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;

use crate::ingress;

/// The body of a whole answer, with the request's entry in the access log.
struct TrackedBody {
    body: ingress::Body,
    access: Option<ingress::AccessLogEntry>,
}

/// Keeps the request in progress until `response`, which is its whole answer, has been written.
pub(super) fn track(
    access: ingress::AccessLogEntry,
    response: hyper::Response<ingress::Body>,
) -> hyper::Response<ingress::Body> {
    response.map(|body| TrackedBody { body, access: Some(access) }.boxed_unsync())
}

impl body::Body for TrackedBody {
    type Data = Bytes;
    type Error = ingress::Aborted;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, ingress::Aborted>>> {
        pin::Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    /// The HTTP library drops a body once it has buffered all of it, or with the connection. Until then, the
    /// head alone may have been written.
    fn drop(&mut self) {
        if let Some(access) = self.access.take() {
            access.await_write();
        }
    }
}
