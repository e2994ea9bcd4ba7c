//! Endpoint pools: endpoints that can serve the same requests.

use crate::id;

/// Says how the endpoints of a pool are spoken to.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PoolProtocol {
    /// Model engines that serve the named model.
    Engine {
        /// The model.
        model: id::ModelName,
    },
    /// Plain services.
    Service {},
}

/// Describes an endpoint pool.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointPoolSpec {
    /// How the pool's endpoints are spoken to.
    pub protocol: PoolProtocol,
    /// Into how many shards the pool is divided; at least 1.
    ///
    /// Each shard is scheduled on its own; keep a shard at 32 endpoints or fewer.
    #[serde(default = "one")]
    pub shards: u16,
}

fn one() -> u16 {
    1
}
