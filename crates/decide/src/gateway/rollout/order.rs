//! The state of one rollout, as exchanged between daemons.

use trefoildyke_types::id;

use crate::gateway::Stage;

/// The move of a service to another version of its endpoints.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: id::PoolName,
    /// The number of the operators' order; later orders have higher numbers.
    pub order: u64,
    /// The version that was in force at the time of the order; `None` until that has been written
    /// to the store.
    pub from: Option<id::VersionName>,
    /// The version that the service moves to.
    pub to: id::VersionName,
    /// The time in which the rollout should complete, in milliseconds after the order.
    pub within_ms: u64,
    /// The time since the order, in milliseconds.
    pub age_ms: u64,
    /// The stage that the rollout has reached.
    pub stage: Stage,
}
