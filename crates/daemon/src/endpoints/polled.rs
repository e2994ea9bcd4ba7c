//! What one call to an endpoint brought.

use trefoildyke_types::{engine, error, id};
use trefoildyke_wire::endpoint::message;

/// Holds the answer to one call.
#[derive(Debug)]
pub(super) enum Answer {
    Load(Result<engine::LoadReport, error::Error>),
    Cache(Result<message::CachePage, error::Error>),
}

/// Holds the answer of one endpoint.
#[derive(Debug)]
pub(super) struct Polled {
    pub(super) endpoint: id::EndpointName,
    pub(super) answer: Answer,
}
