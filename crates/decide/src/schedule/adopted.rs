//! Work that another scheduler permitted.

use trefoildyke_types::{id, request};

/// Reports a request in progress to a scheduler that did not permit it.
///
/// Coordinators send it after a takeover, so that the new scheduler's accounts are right.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adopted {
    /// The request, as it was asked for; `left_ms` counts from now.
    pub ask: request::Ask,
    /// Where it runs.
    pub endpoint: id::EndpointName,
    /// How many tokens it has answered so far; 0 says that its prompt is still being processed.
    pub tokens: u32,
}
