//! Requests in progress that another scheduler permitted.

use trefoildyke_types::{id, request};

/// A request in progress, reported to a scheduler that did not permit it.
///
/// Coordinators send it after a takeover, so that the new scheduler accounts for all work in
/// progress.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TakenOver {
    /// The original request, except that `left_ms` counts from now.
    pub ask: request::Ask,
    /// The endpoint that the request runs on.
    pub endpoint: id::EndpointName,
    /// How many tokens of the answer have been generated; 0 means that the prompt is still being
    /// processed.
    pub tokens: u32,
}
