//! Bodies that servers send, either complete or in chunks.

use std::{pin, task};

use hyper::body;
use tokio::sync::mpsc;

/// The error of a body or answer that was aborted; its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off; open a new connection")]
pub struct Aborted;

/// The body of an answer.
#[derive(Debug)]
pub struct Body(Content);

#[derive(Debug)]
enum Content {
    Full(Option<bytes::Bytes>),
    Chunked(mpsc::Receiver<Result<bytes::Bytes, Aborted>>),
}

/// The sender of the chunks of a [`Body`]; the body ends when all clones of the sender are dropped.
#[derive(Clone, Debug)]
pub struct BodySender(mpsc::Sender<Result<bytes::Bytes, Aborted>>);

impl Body {
    /// Creates a body that is complete.
    pub fn whole(content: impl Into<bytes::Bytes>) -> Self {
        Self(Content::Full(Some(content.into())))
    }

    /// Creates a body that is sent in chunks, and its sender; at most `capacity` chunks are queued.
    pub fn chunked(capacity: usize) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (BodySender(sender), Self(Content::Chunked(receiver)))
    }
}

impl BodySender {
    /// Queues a chunk; waits while the queue is full.
    ///
    /// Fails if the receiver has been dropped.
    pub async fn send(&self, chunk: impl Into<bytes::Bytes>) -> Result<(), Aborted> {
        self.0.send(Ok(chunk.into())).await.map_err(|_| Aborted)
    }

    /// Aborts the body, so that the receiver cannot mistake it for a complete one.
    pub async fn abort(self) {
        // The send fails only if the receiver has been dropped, and then nobody needs the error.
        let _ = self.0.send(Err(Aborted)).await;
    }

    /// Waits until the receiver has been dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

impl body::Body for Body {
    type Data = bytes::Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, Aborted>>> {
        let chunk = match &mut self.0 {
            Content::Full(content) => content.take().map(Ok),
            Content::Chunked(receiver) => task::ready!(receiver.poll_recv(cx)),
        };
        task::Poll::Ready(chunk.map(|chunk| chunk.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.0, Content::Full(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match &self.0 {
            Content::Full(content) => {
                body::SizeHint::with_exact(content.as_ref().map_or(0, |c| c.len() as u64))
            }
            Content::Chunked(_) => body::SizeHint::default(),
        }
    }
}
