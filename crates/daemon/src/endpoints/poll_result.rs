//! The result of a call to an endpoint.

use trefoildyke_types::{engine, error, id};
use trefoildyke_wire::endpoint::message;

/// The result of a call for a load report or for cache events.
#[derive(Debug)]
pub(super) enum Answer {
    Load(Result<engine::LoadReport, error::Error>),
    Cache(Result<message::CachePage, error::Error>),
}

/// The result of a call, with the endpoint that was called.
#[derive(Debug)]
pub(super) struct PollResult {
    pub(super) endpoint: id::EndpointName,
    pub(super) answer: Answer,
}
