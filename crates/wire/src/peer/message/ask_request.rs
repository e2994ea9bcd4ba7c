//! The request for a permit.

use trefoildyke_types::{id, request};

/// A request to the scheduler of one pool shard for a permit.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AskRequest {
    /// The pool.
    pub pool: id::PoolName,
    /// The shard of the pool.
    pub shard: u32,
    /// The waiting request.
    pub ask: request::Ask,
}
