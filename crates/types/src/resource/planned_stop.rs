//! Planned stops: graceful shutdowns declared by operators.

use crate::id;

/// The target of a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StopTarget {
    /// One endpoint.
    Endpoint(id::EndpointName),
    /// Every endpoint on a host and, if the host runs a daemon, the daemon.
    Host(id::HostName),
    /// Every endpoint of a pool.
    Pool(id::PoolName),
}

/// The specification of a planned stop, which lasts until the resource is deleted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedStopSpec {
    /// What is stopped.
    pub target: StopTarget,
}
