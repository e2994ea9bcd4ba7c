//! The actions that a shard's scheduler requests.

use trefoildyke_types::{id, request, time};

/// An action that the caller of the scheduler must carry out.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Send the permit to the request's coordinator.
    Grant(request::Permit),
    /// Send the refusal to the request's coordinator at once. The request has no permit.
    Shed {
        /// The request.
        key: id::RequestKey,
        /// The refusal, with a retry-after time.
        refusal: request::Refusal,
    },
    /// Ask the endpoint for a fresh load report and pass it in as [`crate::schedule::Input::Load`].
    Probe(id::EndpointName),
    /// Pass in [`crate::schedule::Input::Tick`] at this time; replaces any earlier wake-up.
    WakeAt(time::Timestamp),
}
