//! Services as a gateway knows them.

use trefoildyke_types::id;

/// Describes a service: a pool of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: id::PoolName,
    /// How many connections one endpoint accepts from all daemons together.
    pub connections: u32,
    /// How many tokens one event of a stream holds; 0 where the service runs no model.
    #[serde(default)]
    pub event_tokens: u32,
}
