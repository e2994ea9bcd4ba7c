//! Endpoints: single workers.

use std::net;

use crate::id;

/// Describes an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// The pool that the endpoint serves.
    pub pool: id::PoolName,
    /// The host that carries the endpoint, as the platform's list names it.
    pub host: id::HostName,
    /// The availability zone.
    pub zone: id::ZoneName,
    /// Where the endpoint listens.
    pub address: net::SocketAddr,
    /// How many requests the endpoint runs at once; at least 1.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// How many prompt tokens the endpoint's prefix cache holds; 0 for none.
    #[serde(default)]
    pub cache_tokens: u32,
    /// Whether the endpoint refuses an order that carries an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_slots() -> u32 {
    8
}
