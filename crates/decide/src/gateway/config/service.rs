//! Services in the configuration of a gateway.

use trefoildyke_types::id;

/// A service: a pool of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: id::PoolName,
    /// The maximum number of connections that one endpoint accepts from all daemons together.
    pub connections: u32,
    /// The number of tokens in one event of a stream; 0 for services that do not run a model.
    #[serde(default)]
    pub event_tokens: u32,
}
