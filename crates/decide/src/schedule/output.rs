//! What a shard's scheduler wants done.

use trefoildyke_types::{id, request, time};

/// Asks the caller of the scheduler for one action.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Output {
    /// Send the permit to the request's coordinator.
    Grant(request::Permit),
    /// Send the refusal to the request's coordinator, at once. Nothing was permitted.
    Shed {
        /// The request.
        key: id::RequestKey,
        /// The refusal, with a time to come back.
        refusal: request::Refusal,
    },
    /// Ask the endpoint for a fresh load report and feed it in.
    Probe(id::EndpointName),
    /// Call with [`crate::schedule::Input::Tick`] at this time; replaces earlier wake-ups.
    WakeAt(time::Timestamp),
}
