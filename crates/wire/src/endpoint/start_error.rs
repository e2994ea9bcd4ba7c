//! Errors of starting work at an endpoint.

use crate::endpoint;

/// The reason why work is not known to have started, and whether it can have started anyway.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// Nothing was sent, so the work was not and will not be started.
    #[error("nothing was sent to the endpoint: {0}; check that it runs and is reachable")]
    NotSent(String),
    /// The endpoint refused the work without starting it.
    #[error("the endpoint refused the work with status {status}: {detail}; correct the request")]
    Refused {
        /// The HTTP status, from 400 to 499.
        status: u16,
        /// The body of the endpoint's answer.
        detail: String,
    },
    /// The work was sent; it may have been started or may be started later.
    #[error("sent, outcome unknown: {0}; ask the endpoint for the stream, never send it again")]
    Unknown(String),
    /// The endpoint answered with success, but the answer is malformed or belongs to another request.
    #[error("{0}")]
    Protocol(endpoint::Fault),
}
