//! One shard of an endpoint pool.

use trefoildyke_types::id;

/// The name of one shard of an endpoint pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shard {
    /// The pool.
    pub pool: id::PoolName,
    /// The shard's number, less than the number of shards of the pool.
    pub number: u16,
}
