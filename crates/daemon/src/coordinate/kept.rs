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
