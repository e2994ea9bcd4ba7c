//! The buffered answer to one request.

use trefoildyke_types::{id, request};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The answer is complete.
    Whole,
    /// The request was refused.
    Refused(request::Refusal),
    /// Every caller disconnected before a dispatch, or a retry joined for which a `not_run` refusal may be
    /// untrue.
    Abandoned,
}

/// A buffer of all tokens of an answer, from the first one on.
#[derive(Debug, Default)]
pub(super) struct AnswerBuffer {
    /// Every token received so far; only appended to.
    tokens: Vec<String>,
    /// How the answer ended; set once.
    end: Option<End>,
    /// Whether a caller has joined that may have sent the request to other daemons too.
    is_maybe_retry: bool,
}

/// The maximum number of tokens in one chunk that a reader gets.
const MAX_CHUNK_TOKENS: usize = 1_024;

/// The result of a read at an offset.
pub(super) enum ReadResult {
    /// The next chunk of the answer; `finish` is set on the last one.
    Chunk(request::Chunk),
    Refused(request::Refusal),
    Abandoned,
    /// No token has arrived at the offset yet.
    Pending,
}

impl AnswerBuffer {
    /// Appends a chunk, which must continue the answer.
    pub(super) fn push(&mut self, chunk: request::Chunk) {
        self.tokens.extend(chunk.tokens);
        if chunk.finish.is_some() {
            self.finish(End::Whole);
        }
    }

    /// Ends the answer, unless it has already ended.
    pub(super) fn finish(&mut self, end: End) {
        self.end.get_or_insert(end);
    }

    /// Registers a caller that joins; returns whether the answer can be given to it.
    ///
    /// A refusal need not hold for a later attempt, except one for a failure at the endpoint.
    /// An abandoned answer cannot be joined either.
    pub(super) fn join(&mut self, is_maybe_retry: bool) -> bool {
        self.is_maybe_retry |= is_maybe_retry;
        match &self.end {
            Some(End::Refused(refusal)) => refusal.kind == request::RefusalKind::Failed,
            Some(End::Abandoned) => false,
            Some(End::Whole) | None => true,
        }
    }

    pub(super) const fn is_maybe_retry(&self) -> bool {
        self.is_maybe_retry
    }

    /// Ends the answer with a refusal; `was_maybe_retry` is `is_maybe_retry` as of the decision to refuse.
    ///
    /// A `not_run` refusal that was decided before a retry joined may be untrue for the retry. The answer is
    /// then abandoned: it breaks off for all readers, which have to ask again.
    pub(super) fn refuse(&mut self, refusal: request::Refusal, was_maybe_retry: bool) {
        let may_be_false = refusal.kind == request::RefusalKind::NotRun && self.is_maybe_retry;
        self.finish(if may_be_false && !was_maybe_retry {
            End::Abandoned
        } else {
            End::Refused(refusal)
        });
    }

    pub(super) const fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }

    pub(super) const fn len(&self) -> usize {
        self.tokens.len()
    }

    /// Returns the approximate memory use of the answer, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.tokens.iter().map(|token| token.len() + size_of::<String>()).sum()
    }

    /// Reads from `offset` on, in tokens.
    pub(super) fn read(&self, id: id::RequestId, offset: u64) -> ReadResult {
        let first = usize::try_from(offset).unwrap_or(usize::MAX);
        let last = self.tokens.len().min(first.saturating_add(MAX_CHUNK_TOKENS));
        let tokens = self.tokens.get(first..last).unwrap_or_default().to_vec();
        let is_last = first.saturating_add(tokens.len()) >= self.tokens.len();
        match &self.end {
            Some(End::Whole) if is_last => {
                let finish = Some(request::Finish::Whole);
                ReadResult::Chunk(request::Chunk { id, offset, tokens, finish })
            }
            _ if !tokens.is_empty() => {
                ReadResult::Chunk(request::Chunk { id, offset, tokens, finish: None })
            }
            Some(End::Refused(refusal)) => ReadResult::Refused(refusal.clone()),
            Some(End::Abandoned) => ReadResult::Abandoned,
            Some(End::Whole) | None => ReadResult::Pending,
        }
    }
}
