//! How the endpoints of a pool are divided into shards.

use trefoildyke_types::id;
use xxhash_rust::xxh3;

/// Returns the shard of a pool with `shards` shards that an endpoint belongs to.
///
/// Rendezvous hashing: another number of shards moves as few endpoints as possible. Every daemon
/// and every version returns the same.
pub fn shard_of(endpoint: &id::EndpointName, shards: u16) -> u16 {
    let weight =
        |shard: &u16| xxh3::xxh3_64_with_seed(endpoint.as_str().as_bytes(), u64::from(*shard) + 1);
    (0..shards).max_by_key(weight).unwrap_or(0)
}
