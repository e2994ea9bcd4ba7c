//! Endpoints: the workers of a pool.

use std::net;

use crate::id;

/// The specification of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The pool that the endpoint serves.
    pub pool: id::PoolName,
    /// The host that runs the endpoint, by its name in the platform's host list.
    pub host: id::HostName,
    /// The availability zone of the host.
    pub zone: id::ZoneName,
    /// The address on which the endpoint listens.
    pub address: net::SocketAddr,
    /// The number of requests that the endpoint can run concurrently; at least 1.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The capacity of the endpoint's prefix cache, in prompt tokens; 0 if there is no cache.
    #[serde(default)]
    pub cache_tokens: u32,
    /// Whether the endpoint rejects an order with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_slots() -> u32 {
    8
}
