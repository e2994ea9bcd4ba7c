//! Bodies that servers send: whole at once or piece by piece.

use std::{pin, task};

use hyper::body;
use tokio::sync::mpsc;

/// Says that a body or an answer was broken off; the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off; open a new connection")]
pub struct Aborted;

/// Holds the body of an answer.
#[derive(Debug)]
pub struct Body(Content);

#[derive(Debug)]
enum Content {
    Whole(Option<bytes::Bytes>),
    Pieces(mpsc::Receiver<Result<bytes::Bytes, Aborted>>),
}

/// Sends the pieces of a [`Body`]; the body ends when the sender is dropped.
#[derive(Clone, Debug)]
pub struct BodySender(mpsc::Sender<Result<bytes::Bytes, Aborted>>);

impl Body {
    /// Creates a body that is sent at once.
    pub fn whole(content: impl Into<bytes::Bytes>) -> Self {
        Self(Content::Whole(Some(content.into())))
    }

    /// Creates a body that is sent piece by piece, at most `capacity` of which wait to be sent.
    pub fn pieces(capacity: usize) -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (BodySender(sender), Self(Content::Pieces(receiver)))
    }
}

impl BodySender {
    /// Sends a piece, waiting while the receiver is slow.
    ///
    /// Fails if the receiver has gone.
    pub async fn send(&self, piece: impl Into<bytes::Bytes>) -> Result<(), Aborted> {
        self.0.send(Ok(piece.into())).await.map_err(|_| Aborted)
    }

    /// Breaks the body off, so that the receiver cannot take it for a whole one.
    pub async fn abort(self) {
        // A receiver that has gone needs no notice.
        let _ = self.0.send(Err(Aborted)).await;
    }

    /// Waits until the receiver has gone.
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
        let piece = match &mut self.0 {
            Content::Whole(content) => content.take().map(Ok),
            Content::Pieces(receiver) => task::ready!(receiver.poll_recv(cx)),
        };
        task::Poll::Ready(piece.map(|piece| piece.map(body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.0, Content::Whole(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match &self.0 {
            Content::Whole(content) => {
                body::SizeHint::with_exact(content.as_ref().map_or(0, |c| c.len() as u64))
            }
            Content::Pieces(_) => body::SizeHint::default(),
        }
    }
}
