//! Protocol violations in answers of endpoints.

use trefoildyke_types::id;

/// A protocol violation in a chunk or reply, which is then not passed to the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The chunk or reply belongs to another request.
    #[error("a chunk answers request {0}; resume the stream on a new connection")]
    Foreign(id::RequestId),
    /// Tokens are missing before the chunk.
    #[error("a chunk begins at token {found}, not {expected}; resume the stream at {expected}")]
    Gap {
        /// The offset of the next token of the stream.
        expected: u64,
        /// The chunk's offset.
        found: u64,
    },
    /// The chunk repeats tokens that were already received.
    #[error("a chunk begins again at token {found}, not {expected}; resume at {expected}")]
    Overlap {
        /// The offset of the next token of the stream.
        expected: u64,
        /// The chunk's offset.
        found: u64,
    },
    /// The chunk or reply cannot be parsed.
    #[error("a chunk cannot be read: {0}; check that both sides run compatible versions")]
    Malformed(String),
}
