//! Errors that end reading a stream.

use trefoildyke_types::error;

use crate::endpoint;

/// The reason why the rest of a stream cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The endpoint does not know the stream.
    ///
    /// The work can still run later: the message that starts it may not have arrived yet.
    #[error("the endpoint does not know the stream; its outcome is unknown")]
    NotFound,
    /// No attempt to reach the endpoint succeeded within [`endpoint::Limits::give_up`].
    #[error("the endpoint is out of reach: {0}; ask again later")]
    Unreachable(String),
    /// Too many consecutive answers of the endpoint violated the protocol.
    #[error("{0}")]
    Protocol(endpoint::Fault),
    /// No valid HTTP request can be made for the stream.
    #[error("{0}")]
    Invalid(error::Error),
}
