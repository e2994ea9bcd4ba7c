//! What a caller got.

use trefoildyke_types::{id, request};

/// What a caller got for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer, checked token by token.
    Whole(id::RequestId, Vec<String>),
    /// A typed refusal, before or after the request was accepted.
    Refused(request::Refusal),
    /// The connection broke before the end, after so many tokens.
    Broken(Option<id::RequestId>, u64),
}

impl Outcome {
    /// Returns the tokens of a whole answer; panics on anything else.
    pub(crate) fn whole(self) -> Vec<String> {
        match self {
            Self::Whole(_, tokens) => tokens,
            other => panic!("no whole answer: {other:?}"),
        }
    }

    /// Returns the refusal; panics on anything else.
    pub(crate) fn refused(self) -> request::Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            other => panic!("no refusal: {other:?}"),
        }
    }
}
