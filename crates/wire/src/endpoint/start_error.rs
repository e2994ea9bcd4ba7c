//! How starting work at an endpoint can fail.

use crate::endpoint;

/// Says why work was not seen to start, and whether it can have started all the same.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// Nothing was sent, so nothing was started and nothing will be.
    #[error("nothing was sent to the endpoint: {0}; check that it runs and is reachable")]
    NotSent(String),
    /// The endpoint refused the work without starting it.
    #[error("the endpoint refused the work with status {status}: {detail}; correct the request")]
    Refused {
        /// The HTTP status, from 400 to 499.
        status: u16,
        /// What the endpoint says.
        detail: String,
    },
    /// The work was sent; it may have been started or may still be.
    #[error("sent, outcome unknown: {0}; ask the endpoint for the stream, never send it again")]
    Unknown(String),
    /// The endpoint ran something, but its answer does not belong to the request.
    #[error("{0}")]
    Protocol(endpoint::Fault),
}
