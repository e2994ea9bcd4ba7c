//! One roll-out as daemons tell each other of it.

use trefoildyke_types::id;

use crate::gateway::Stage;

/// Describes the move of a service to another version of its endpoints.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Rollout {
    /// The service.
    pub service: id::PoolName,
    /// Which order of the operators it follows; a later one is higher.
    pub order: u64,
    /// The version that was in force when it was ordered; `None` until that was written down.
    pub from: Option<id::VersionName>,
    /// The version that is to be in force.
    pub to: id::VersionName,
    /// Within which time that is wanted, in milliseconds after the order.
    pub within_ms: u64,
    /// How long ago it was ordered, in milliseconds.
    pub age_ms: u64,
    /// How far it is.
    pub stage: Stage,
}
