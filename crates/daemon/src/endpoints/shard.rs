//! One shard of an endpoint pool.

use trefoildyke_types::id;

/// Names one shard of an endpoint pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard {
    /// The pool.
    pub pool: id::PoolName,
    /// The shard's number, below the pool's number of shards.
    pub number: u16,
}
