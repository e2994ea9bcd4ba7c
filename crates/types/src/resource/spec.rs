//! The structure that all kinds of resources share.

use crate::resource;

/// The desired state that an operator declares, by kind.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", content = "spec")]
pub enum Spec {
    /// A client account.
    ClientAccount(resource::ClientAccountSpec),
    /// An endpoint.
    Endpoint(resource::EndpointSpec),
    /// An endpoint pool.
    EndpointPool(resource::EndpointPoolSpec),
    /// An engine order.
    EngineOrder(resource::EngineOrderSpec),
    /// A planned stop.
    PlannedStop(resource::PlannedStopSpec),
    /// A tier.
    Tier(resource::TierSpec),
}

impl Spec {
    /// Returns the kind of the resource.
    pub const fn kind(&self) -> resource::Kind {
        match self {
            Self::ClientAccount(_) => resource::Kind::ClientAccount,
            Self::Endpoint(_) => resource::Kind::Endpoint,
            Self::EndpointPool(_) => resource::Kind::EndpointPool,
            Self::EngineOrder(_) => resource::Kind::EngineOrder,
            Self::PlannedStop(_) => resource::Kind::PlannedStop,
            Self::Tier(_) => resource::Kind::Tier,
        }
    }
}

/// One resource: the desired state, its accepted version and its status.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resource {
    /// The name, unique within the kind.
    pub name: String,
    /// The desired state.
    #[serde(flatten)]
    pub spec: Spec,
    /// The number of specs accepted since the resource was created, from 1; 0 before the first.
    #[serde(default)]
    pub generation: u64,
    /// The root version in which the spec was accepted.
    ///
    /// A replacement or deletion must name it and is otherwise refused as a conflict; a creation names 0.
    #[serde(default)]
    pub resource_version: u64,
    /// The observed status; `None` in resources that operators send and in stored ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<resource::Status>,
}

impl Resource {
    /// Returns the kind and name, which identify the resource.
    pub fn key(&self) -> resource::ResourceKey {
        resource::ResourceKey { kind: self.spec.kind(), name: self.name.clone() }
    }
}
