//! Checks that an answer is whole and the caller's own.

use trefoildyke_types::{id, request};

use crate::engine;

/// Says what is wrong with an answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A chunk names another request.
    #[error("a chunk is of request {0}; the daemon mixed up answers")]
    Foreign(id::RequestId),
    /// A token belongs to another request or another place.
    #[error("token {0} has the wrong text; the daemon mixed up answers")]
    WrongToken(u64),
    /// A chunk does not continue where the last one ended.
    #[error("a chunk starts at {found} in place of {expected}; the daemon lost or repeated tokens")]
    Discontinuous {
        /// Where it should start.
        expected: u64,
        /// Where it starts.
        found: u64,
    },
    /// The answer was called whole and is not.
    #[error("an answer of {found} tokens in place of {expected} was called whole")]
    Short {
        /// How many tokens the whole answer has.
        expected: u64,
        /// How many came.
        found: u64,
    },
}

/// Checks the chunks of one answer, over several attempts.
#[derive(Clone, Debug)]
pub struct AnswerCheck {
    id: id::RequestId,
    expected: u64,
    received: u64,
    /// The output of a plain service, which comes as one token; `None` for an engine's tokens.
    output: Option<String>,
}

impl AnswerCheck {
    /// Creates the check of an answer that has `expected` tokens when it is whole.
    pub fn new(id: id::RequestId, expected: u64) -> Self {
        Self { id, expected, received: 0, output: None }
    }

    /// Creates the check of the answer of a plain service.
    pub fn of_service(id: id::RequestId, output: String) -> Self {
        Self { id, expected: 1, received: 0, output: Some(output) }
    }

    /// Returns the offset of the next token.
    pub fn offset(&self) -> u64 {
        self.received
    }

    /// Takes in a chunk and says whether it was the last one of a whole answer.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the chunk.
    pub fn take_in(&mut self, chunk: &request::Chunk) -> Result<bool, Fault> {
        if chunk.id != self.id {
            return Err(Fault::Foreign(chunk.id));
        }
        if chunk.offset != self.received {
            return Err(Fault::Discontinuous { expected: self.received, found: chunk.offset });
        }
        for token in &chunk.tokens {
            if !self.is_next(token) {
                return Err(Fault::WrongToken(self.received));
            }
            self.received += 1;
        }
        let whole = chunk.finish == Some(request::Finish::Whole);
        if whole && self.received != self.expected {
            return Err(Fault::Short { expected: self.expected, found: self.received });
        }
        Ok(whole)
    }

    fn is_next(&self, token: &str) -> bool {
        match &self.output {
            Some(output) => token == output,
            None => token == engine::token(&self.id, self.received),
        }
    }
}
