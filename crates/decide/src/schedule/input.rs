//! The events that a shard's scheduler handles.

use trefoildyke_types::{engine, id, request, time};

use crate::schedule;

/// An event for the scheduler.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Input {
    /// A coordinator asks for a permit; asking again has no further effect.
    Ask(request::Ask),
    /// A coordinator reports the progress of a request that it asked for.
    Report(schedule::Report),
    /// A coordinator reports a request in progress that another scheduler permitted.
    #[serde(rename = "adopt")]
    TakeOver(schedule::TakenOver),
    /// A coordinator is lost and will send no more reports.
    ///
    /// The requests that it dispatched may still run, but only the endpoints' load reports show
    /// them.
    CoordinatorLost(id::Incarnation),
    /// An endpoint reported its load.
    Load {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The time that the report describes, by the scheduler's clock.
        as_of: time::Timestamp,
        /// The report; its own timestamp is ignored.
        report: engine::LoadReport,
    },
    /// An endpoint published changes to its prefix cache.
    Cache {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The changes, in the engine's order; some may be missing.
        events: Vec<engine::CacheEvent>,
    },
    /// An endpoint may be used; sent again when its description changes.
    EndpointUp(schedule::EndpointInfo),
    /// An endpoint gets no new work; its requests in progress continue.
    EndpointLeaving(id::EndpointName),
    /// An endpoint and all of its requests are lost.
    EndpointGone(id::EndpointName),
    /// The configuration of a client account; sent at the start and after each change.
    Account(schedule::AccountShare),
    /// Time has passed; this is the wake-up that [`schedule::Output::WakeAt`] asked for.
    Tick,
}
