//! The outcome of a request for its caller.

use trefoildyke_types::{id, request};

/// The outcome of one request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The complete answer, with contiguous chunks.
    Complete(id::RequestId, Vec<String>),
    /// A refusal, before or after the request was accepted.
    Refused(request::Refusal),
    /// The connection broke before the end, after the given number of tokens.
    Broken(Option<id::RequestId>, u64),
}

impl Outcome {
    /// Returns the tokens of a complete answer; panics on any other outcome.
    pub(crate) fn unwrap_tokens(self) -> Vec<String> {
        match self {
            Self::Complete(_, tokens) => tokens,
            other => panic!("no complete answer: {other:?}"),
        }
    }

    /// Returns the refusal; panics on any other outcome.
    pub(crate) fn unwrap_refusal(self) -> request::Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            other => panic!("no refusal: {other:?}"),
        }
    }
}
