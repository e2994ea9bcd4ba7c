//! How an answer can break the protocol.

use trefoildyke_types::id;

/// Says what was wrong with a chunk; such a chunk never reaches the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The chunk answers another request.
    #[error("a chunk answers request {0}; resume the stream on a new connection")]
    Foreign(id::RequestId),
    /// Tokens are missing before the chunk.
    #[error("a chunk begins at token {found}, not {expected}; resume the stream at {expected}")]
    Gap {
        /// The offset that continues the stream.
        expected: u64,
        /// The chunk's offset.
        found: u64,
    },
    /// The chunk repeats tokens.
    #[error("a chunk begins again at token {found}, not {expected}; resume at {expected}")]
    Overlap {
        /// The offset that continues the stream.
        expected: u64,
        /// The chunk's offset.
        found: u64,
    },
    /// The chunk cannot be read.
    #[error("a chunk cannot be read: {0}; check that both sides run compatible versions")]
    Malformed(String),
}
