//! Planned stops: graceful shutdowns that operators declare.

use crate::id;

/// Says what a planned stop stops.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StopTarget {
    /// One endpoint.
    Endpoint(id::EndpointName),
    /// Every endpoint on a host and, if the host is one of the system's own, its daemon.
    Host(id::HostName),
    /// Every endpoint of a pool.
    Pool(id::PoolName),
}

/// Describes a planned stop; it holds until the resource is deleted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStopSpec {
    /// What to stop.
    pub target: StopTarget,
}
