//! How reading a stream can fail for good.

use trefoildyke_types::error;

use crate::endpoint;

/// Says why the rest of a stream cannot be had.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The endpoint does not know the stream.
    ///
    /// That does not prove that it never runs: its start may still be on the way.
    #[error("the endpoint does not know the stream; its outcome is unknown")]
    NotFound,
    /// The endpoint could not be reached for the whole time that attempts go on.
    #[error("the endpoint is out of reach: {0}; ask again later")]
    Unreachable(String),
    /// The endpoint's answers kept breaking the protocol.
    #[error("{0}")]
    Protocol(endpoint::Fault),
    /// The stream cannot be asked for.
    #[error("{0}")]
    Invalid(error::Error),
}
