//! Reports of endpoints that crashed during a request.

use trefoildyke_types::id;

use crate::gateway;

/// An endpoint that crashed while it ran a request, as far as its daemon could see.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// The fingerprint of the request, which is the same for every id of the request.
    pub fingerprint: gateway::Fingerprint,
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// The number of the endpoint's start that crashed.
    pub start: u64,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Whether it has turned out that the request did not crash the endpoint; once true, it stays
    /// true.
    pub refuted: bool,
}
