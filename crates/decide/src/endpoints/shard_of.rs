//! The assignment of a pool's endpoints to shards.

use trefoildyke_types::id;
use xxhash_rust::xxh3;

/// Returns the shard that an endpoint belongs to, in a pool with `shards` shards.
///
/// Uses rendezvous hashing, so that a change of the number of shards moves as few endpoints as
/// possible. All daemons and all versions return the same result.
pub fn shard_of(endpoint: &id::EndpointName, shards: u16) -> u16 {
    let weight =
        |shard: &u16| xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), u64::from(*shard) + 1);
    (0..shards).max_by_key(weight).unwrap_or(0)
}
