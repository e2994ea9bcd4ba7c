//! What a shard's scheduler is told.

use trefoildyke_types::{engine, id, request, time};

use crate::schedule;

/// Tells the scheduler of one event.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Input {
    /// A coordinator asks for a permit; asking again is harmless.
    Ask(request::Ask),
    /// A coordinator reports on a request that it asked for.
    Report(schedule::Report),
    /// A coordinator reports work that another scheduler permitted.
    Adopt(schedule::Adopted),
    /// A coordinator is lost and will report nothing more.
    ///
    /// What it dispatched may go on, but only the endpoints' load reports tell of it.
    CoordinatorLost(id::Incarnation),
    /// An endpoint reported its load.
    Load {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// When the report was true, on the scheduler's clock.
        as_of: time::Timestamp,
        /// The report; its own time is not read.
        report: engine::LoadReport,
    },
    /// An endpoint published changes of its prefix cache.
    Cache {
        /// The endpoint.
        endpoint: id::EndpointName,
        /// The changes, in the engine's order as far as they arrived.
        events: Vec<engine::CacheEvent>,
    },
    /// An endpoint may be used; repeated when its description changes.
    EndpointUp(schedule::EndpointInfo),
    /// An endpoint gets no new work; what it has goes on.
    EndpointLeaving(id::EndpointName),
    /// An endpoint is lost with all its work.
    EndpointGone(id::EndpointName),
    /// The configuration of a client account, at the start and at each change.
    Account(schedule::AccountShare),
    /// Time has passed: answers [`schedule::Output::WakeAt`].
    Tick,
}
