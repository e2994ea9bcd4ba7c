//! The answer to one request as far as it has come.

use trefoildyke_types::{id, request};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// The answer is whole.
    Whole,
    /// The final refusal.
    Refused(request::Refusal),
    /// Every caller had gone before anything was dispatched.
    Abandoned,
}

/// Holds an answer from its first token on.
#[derive(Debug, Default)]
pub(super) struct Kept {
    /// Every token so far; only appended to.
    tokens: Vec<String>,
    /// Set once.
    end: Option<End>,
    /// Whether a caller has joined that had sent the request to other daemons too.
    is_second: bool,
}

/// The most tokens in one piece that is handed out.
const PIECE: usize = 1_024;

/// What a reader gets at an offset.
pub(super) enum Piece {
    /// The next part of the answer; the last one carries `finish`.
    Chunk(request::Chunk),
    Refused(request::Refusal),
    Abandoned,
    /// Nothing yet.
    Nothing,
}

impl Kept {
    /// Appends a chunk, which continues the answer.
    pub(super) fn push(&mut self, chunk: request::Chunk) {
        self.tokens.extend(chunk.tokens);
        if chunk.finish.is_some() {
            self.finish(End::Whole);
        }
    }

    /// Ends the answer, unless it has ended.
    pub(super) fn finish(&mut self, end: End) {
        self.end.get_or_insert(end);
    }

    /// Takes note of a caller that joins; returns whether it can.
    ///
    /// What a refusal said need not hold for a later attempt, but for a failure at the endpoint.
    pub(super) fn join(&mut self, is_second: bool) -> bool {
        self.is_second |= is_second;
        match &self.end {
            Some(End::Refused(refusal)) => refusal.kind == request::RefusalKind::Failed,
            Some(End::Abandoned) => false,
            Some(End::Whole) | None => true,
        }
    }

    pub(super) const fn is_second(&self) -> bool {
        self.is_second
    }

    /// Ends the answer with a refusal that was decided for a request of which `knew_second`.
    ///
    /// A `not_run` that was decided before a retry joined is not true for it: all readers are sent
    /// away without an answer, to ask again.
    pub(super) fn refuse(&mut self, refusal: request::Refusal, knew_second: bool) {
        let is_untrue = refusal.kind == request::RefusalKind::NotRun && self.is_second;
        self.finish(if is_untrue && !knew_second { End::Abandoned } else { End::Refused(refusal) });
    }

    pub(super) const fn end(&self) -> Option<&End> {
        self.end.as_ref()
    }

    pub(super) const fn len(&self) -> usize {
        self.tokens.len()
    }

    /// Returns about how much memory the answer takes, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.tokens.iter().map(|token| token.len() + size_of::<String>()).sum()
    }

    /// Returns what comes at `offset`.
    pub(super) fn piece(&self, id: id::RequestId, offset: u64) -> Piece {
        let first = usize::try_from(offset).unwrap_or(usize::MAX);
        let last = self.tokens.len().min(first.saturating_add(PIECE));
        let tokens = self.tokens.get(first..last).unwrap_or_default().to_vec();
        let is_last = first.saturating_add(tokens.len()) >= self.tokens.len();
        match &self.end {
            Some(End::Whole) if is_last => {
                let finish = Some(request::Finish::Whole);
                Piece::Chunk(request::Chunk { id, offset, tokens, finish })
            }
            _ if !tokens.is_empty() => {
                Piece::Chunk(request::Chunk { id, offset, tokens, finish: None })
            }
            Some(End::Refused(refusal)) => Piece::Refused(refusal.clone()),
            Some(End::Abandoned) => Piece::Abandoned,
            Some(End::Whole) | None => Piece::Nothing,
        }
    }
}
