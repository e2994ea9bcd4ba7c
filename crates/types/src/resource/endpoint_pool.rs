//! Endpoint pools: groups of endpoints that can serve the same requests.

use crate::id;

/// The protocol that the endpoints of a pool use.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum PoolProtocol {
    /// Model engines that serve the named model.
    Engine {
        /// The model that the engines serve.
        model: id::ModelName,
    },
    /// Plain services.
    Service {},
}

/// The specification of an endpoint pool.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointPoolSpec {
    /// The protocol that the pool's endpoints use.
    pub protocol: PoolProtocol,
    /// The number of shards of the pool; at least 1.
    ///
    /// Each shard is scheduled independently and should have at most 32 endpoints.
    #[serde(default = "default_shards")]
    pub shards: u16,
}

fn default_shards() -> u16 {
    1
}
