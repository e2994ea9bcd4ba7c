//! What the coordinator gives back for an accepted request.

use tokio::sync::mpsc;
use trefoildyke_types::{id, request};

/// Holds one thing that a caller is told after its request was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// A piece of the answer; the last one carries `finish`.
    Chunk(request::Chunk),
    /// The final refusal.
    Refused(request::Refusal),
}

/// Holds the answer to an accepted request.
///
/// Dropping it tells the coordinator that the caller has gone.
#[derive(Debug)]
pub struct Answer {
    /// The caller's identifier or the issued one.
    pub id: id::RequestId,
    /// Chunks in order of their offsets without a gap, then a last chunk or a refusal.
    ///
    /// A channel that closes before either means that the daemon is ending; the caller may come
    /// back with the identifier.
    pub events: mpsc::Receiver<AnswerEvent>,
}
