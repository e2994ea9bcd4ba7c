//! One order as the configuration gives it.

use std::fmt;

use trefoildyke_types::{id, resource};

/// Names one generation of one order; each is carried out on its own.
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

/// Describes an order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The order.
    pub key: OrderKey,
    /// The root version that accepted it; orders to one engine are carried out in this order.
    pub version: u64,
    /// The engine.
    pub endpoint: id::EndpointName,
    /// Whether the engine refuses old fencing tokens.
    pub checks_fencing: bool,
    /// What the engine is told to do.
    pub action: resource::OrderAction,
}
