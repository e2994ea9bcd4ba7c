//! The coordinator's answer to an accepted request.

use tokio::sync::mpsc;
use trefoildyke_types::{id, request};

/// An event that is sent to a caller after its request was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// A chunk of the answer; `finish` is set on the last one.
    Chunk(request::Chunk),
    /// The final refusal.
    Refused(request::Refusal),
}

/// The answer to an accepted request.
///
/// Dropping it tells the coordinator that the caller has disconnected.
#[derive(Debug)]
pub struct Answer {
    /// The identifier of the request, chosen by the caller or issued by the daemon.
    pub id: id::RequestId,
    /// Chunks in order of their offsets without gaps; the last event is a chunk with `finish` or a refusal.
    ///
    /// If the channel closes before the last event, the daemon is shutting down or has abandoned the answer.
    /// The caller may try again with the identifier.
    pub events: mpsc::Receiver<AnswerEvent>,
}
