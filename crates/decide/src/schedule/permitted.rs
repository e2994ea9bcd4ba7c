//! Permitted requests that have not ended.

use trefoildyke_types::{id, request, time::Timestamp};

use crate::schedule::prefix;

/// A permitted request that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Permitted {
    pub(super) permit: request::Permit,
    /// The coordinator that reports on the request.
    pub(super) coordinator: id::Incarnation,
    /// The endpoint's index in the fleet.
    pub(super) endpoint: usize,
    pub(super) rank: u8,
    /// The hash of the request's content, as asked for.
    pub(super) fingerprint: Option<u64>,
    pub(super) checkpoints: Vec<prefix::Checkpoint>,
    /// The work that was charged to the account; 0 for requests taken over.
    pub(super) cost: f64,
    /// Prompt tokens that count as outstanding at the endpoint; 0 once they are processed.
    pub(super) prefill: u32,
    /// Whether the request counts as a long prompt at the endpoint.
    pub(super) is_long: bool,
    pub(super) max_tokens: u32,
    /// The tokens generated so far, as last reported.
    pub(super) tokens: u32,
    pub(super) last_report_at: Timestamp,
    pub(super) phase: Phase,
    /// When the first token was reported.
    pub(super) began_at: Option<Timestamp>,
    /// Whether the answer has shown that the blocks of the prompt do not crash endpoints.
    pub(super) survived: bool,
}

/// The phase of a permitted request; it never goes back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The permit was sent and its use is not reported yet; it expires at this time.
    Granted(Timestamp),
    /// The request was dispatched at this time.
    Dispatched(Timestamp),
    /// The request was dispatched at this time and is generating tokens.
    Streaming(Timestamp),
}

impl Permitted {
    pub(super) const fn dispatched_at(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Granted(_) => None,
            Phase::Dispatched(at) | Phase::Streaming(at) => Some(at),
        }
    }

    pub(super) const fn is_streaming(&self) -> bool {
        matches!(self.phase, Phase::Streaming(_))
    }

    pub(super) const fn key(&self) -> &id::RequestKey {
        &self.permit.key
    }
}
