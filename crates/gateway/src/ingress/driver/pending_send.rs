//! A send whose answer has not arrived yet.

use std::{sync, sync::atomic, time};

use bytes::Bytes;
use futures::future;
use http_body_util::Full;
use trefoildyke_decide::gateway;

use crate::{state, upstream};

/// Describes an answer without framing that ends before its request was sent as a whole, and may lack a part.
pub(crate) const UNSENT: &str = "it ended while the request was being sent";

/// A request at an endpoint. Dropping it closes the connection and frees the slot.
pub(crate) struct PendingSend {
    pub(crate) slot: state::Slot,
    answer: future::BoxFuture<'static, Result<Answer, upstream::SendError>>,
    /// Whether the head of the answer has come.
    began: sync::Arc<atomic::AtomicBool>,
}

/// The answer of an endpoint.
pub(crate) struct Answer {
    pub(super) head: http::response::Parts,
    pub(super) body: ReadBody,
    pub(super) connection: upstream::Connection,
    pub(super) is_framed: bool,
}

/// The body of an answer.
pub(crate) enum ReadBody {
    /// A stream of events that goes on, and the part of it that was already read.
    Stream { body: upstream::AnswerBody, first: Option<Bytes> },
    /// The whole body, and the memory that it takes. No byte of it has been sent to the caller.
    Whole(Bytes, upstream::AnswerReservation),
}

/// How to read an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadMode {
    /// Whether a success is a stream of events.
    pub(super) is_stream: bool,
    /// How long to wait for the first part of a stream.
    pub(super) first_wait: time::Duration,
}

impl PendingSend {
    /// Sends `request` to the endpoint of `slot`.
    pub(super) fn start(
        shared: sync::Arc<state::Shared>,
        slot: state::Slot,
        id: String,
        request: hyper::Request<Full<Bytes>>,
        mode: ReadMode,
    ) -> Self {
        let (service, grant) = (slot.service().clone(), slot.grant().clone());
        let began = sync::Arc::<atomic::AtomicBool>::default();
        let set_began = sync::Arc::clone(&began);
        let answer = async move {
            let sent = upstream::send(&shared, &service, &grant, &id, &request).await?;
            set_began.store(true, atomic::Ordering::Relaxed);
            read(&shared, sent, mode).await
        };
        Self { slot, answer: Box::pin(answer), began }
    }

    /// Returns whether the head of the answer has come.
    pub(super) fn has_begun(&self) -> bool {
        self.began.load(atomic::Ordering::Relaxed)
    }

    /// Waits for the answer: the head of a stream, or a whole answer. It must not be called again after it
    /// has returned, and can be dropped before.
    pub(crate) async fn answer(&mut self) -> Result<Answer, upstream::SendError> {
        self.answer.as_mut().await
    }
}

async fn read(
    shared: &state::Shared,
    sent: upstream::Answer,
    mode: ReadMode,
) -> Result<Answer, upstream::SendError> {
    let is_framed = sent.is_framed();
    let (head, body) = sent.response.into_parts();
    let body = if mode.is_stream && head.status.is_success() {
        read_start(body, is_framed, mode.first_wait).await?
    } else {
        let (body, reservation) = collect(shared, body).await?;
        if !is_framed && !sent.connection.has_sent_request() {
            return Err(upstream::SendError::cut(UNSENT));
        }
        ReadBody::Whole(body, reservation)
    };
    Ok(Answer { head, body, connection: sent.connection, is_framed })
}

async fn read_start(
    mut body: upstream::AnswerBody,
    is_framed: bool,
    wait: time::Duration,
) -> Result<ReadBody, upstream::SendError> {
    let mut first = None;
    if !wait.is_zero()
        && let Ok(part) = tokio::time::timeout(wait, upstream::next_part(&mut body)).await
    {
        first = part.transpose().map_err(|error| upstream::SendError::from_connection(&error))?;
        if first.is_none() && !is_framed {
            return Err(upstream::SendError::cut("no event"));
        }
    }
    Ok(ReadBody::Stream { body, first })
}

async fn collect(
    shared: &state::Shared,
    body: upstream::AnswerBody,
) -> Result<(Bytes, upstream::AnswerReservation), upstream::SendError> {
    shared.answers.read(body).await.map_err(|error| {
        let failure = match &error {
            upstream::BufferError::Broken(error) => upstream::classify_error(error),
            _ => gateway::Failure::Lost,
        };
        let outcome = gateway::Outcome::Lost;
        upstream::SendError { failure, outcome, detail: error.to_string() }
    })
}
