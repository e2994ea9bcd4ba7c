//! Reports on parts of prompts that may crash endpoints.

use trefoildyke_types::id;

use crate::gateway;

/// A request that was cut off as its endpoint crashed, soon after the answer began or before.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartCrash {
    /// The request.
    pub request: gateway::Fingerprint,
    /// The service and the parts of its prompt that other requests may share, by their keys; at most 16.
    pub parts: Vec<gateway::PartKey>,
    /// The endpoint.
    pub endpoint: id::EndpointName,
    /// The number of the endpoint's start that crashed.
    pub start: u64,
    /// The time since the crash, in milliseconds.
    pub age_ms: u32,
    /// The time from the send to the crash, in milliseconds.
    pub ran_ms: u32,
    /// A bit for each of `parts`, from the lowest: set once it has turned out that this part did not
    /// crash the endpoint. A bit that is set stays set.
    pub refuted: u16,
}

/// An endpoint has answered a request with a part, or one for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartSurvival {
    /// The part, or the service.
    pub part: gateway::PartKey,
    /// The time since the request was sent, in milliseconds.
    pub age_ms: u32,
}

/// Parts that crash endpoints when one prompt holds all of them.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct QuarantinedParts {
    /// The parts, in the order of their keys; a single one, unless all requests that crashed
    /// endpoints have more in common.
    pub parts: Vec<gateway::PartKey>,
    /// How long they stay quarantined, in milliseconds.
    pub left_ms: u32,
}
