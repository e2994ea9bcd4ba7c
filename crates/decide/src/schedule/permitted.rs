//! Requests that were permitted and have not ended.

use trefoildyke_types::{id, request, time::Timestamp};

use crate::schedule::prefix;

/// Holds a permitted request.
#[derive(Clone, Debug)]
pub(super) struct Permitted {
    pub(super) permit: request::Permit,
    /// Who reports on it.
    pub(super) coordinator: id::Incarnation,
    /// The endpoint's number.
    pub(super) endpoint: usize,
    pub(super) rank: u8,
    pub(super) checkpoints: Vec<prefix::Checkpoint>,
    /// The work that was charged to the account.
    pub(super) cost: f64,
    /// Prompt tokens that count as outstanding at the endpoint; 0 once they are processed.
    pub(super) prefill: u32,
    /// Whether it counts as a long prompt at the endpoint.
    pub(super) is_long: bool,
    pub(super) max_tokens: u32,
    /// Tokens answered so far, and when that was known.
    pub(super) tokens: u32,
    pub(super) heard: Timestamp,
    pub(super) phase: Phase,
}

/// Says how far a permitted request has come; it only moves on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The permit is on its way or unused; it lapses at this time.
    Granted(Timestamp),
    /// The request was dispatched at this time.
    Sent(Timestamp),
    /// The request, dispatched at this time, gives tokens.
    Streaming(Timestamp),
}

impl Permitted {
    pub(super) const fn sent(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Granted(_) => None,
            Phase::Sent(at) | Phase::Streaming(at) => Some(at),
        }
    }

    pub(super) const fn is_streaming(&self) -> bool {
        matches!(self.phase, Phase::Streaming(_))
    }

    pub(super) const fn key(&self) -> &id::RequestKey {
        &self.permit.key
    }
}
