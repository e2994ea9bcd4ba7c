//! What a modelled engine brings about.

use trefoildyke_types::{engine, id, time};

/// Describes one thing that an engine brought about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ModelEvent {
    /// The first token of a stream is there; the same token is also reported by `Tokens`.
    FirstToken {
        /// The request.
        key: id::RequestKey,
        /// When.
        at: time::Timestamp,
    },
    /// Tokens of a stream are there.
    Tokens {
        /// The request.
        key: id::RequestKey,
        /// The number of tokens before these.
        offset: u32,
        /// How many there are.
        count: u32,
        /// When.
        at: time::Timestamp,
    },
    /// A stream is whole.
    Finished {
        /// The request.
        key: id::RequestKey,
        /// When.
        at: time::Timestamp,
    },
    /// A stream was cancelled.
    Cancelled {
        /// The request.
        key: id::RequestKey,
        /// When.
        at: time::Timestamp,
    },
    /// A change of the prefix cache was published, late.
    Cache {
        /// The change.
        event: engine::CacheEvent,
        /// When it was published.
        at: time::Timestamp,
    },
}
