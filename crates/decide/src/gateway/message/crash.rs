//! Telling other daemons under which requests endpoints have ended.

use trefoildyke_types::id;

use crate::gateway;

/// Says that an endpoint ended while it ran a request, as far as its daemon could see.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// The request, whatever id it had.
    pub fingerprint: gateway::Fingerprint,
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// Which start of the endpoint ended.
    pub start: u64,
    /// How long ago that was, in milliseconds.
    pub age_ms: u32,
    /// Whether it has turned out that the request did not end the endpoint; never taken back.
    pub refuted: bool,
}
