//! One order as the configuration declares it.

use std::fmt;

use trefoildyke_types::{id, resource};

/// The key of one generation of an order; each generation is carried out separately.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct OrderKey {
    /// The resource's name.
    pub name: String,
    /// The resource's generation.
    pub generation: u64,
}

impl fmt::Display for OrderKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.generation)
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The key of the order.
    pub key: OrderKey,
    /// The root version that accepted the order; orders to one engine are carried out by ascending version.
    pub version: u64,
    /// The engine.
    pub endpoint: id::EndpointName,
    /// Whether the engine refuses outdated fencing tokens.
    pub checks_fencing: bool,
    /// The action that the engine must carry out.
    pub action: resource::OrderAction,
}
