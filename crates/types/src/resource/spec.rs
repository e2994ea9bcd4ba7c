//! The envelope that all resources share.

use crate::resource;

/// Holds what an operator wants, by kind.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "kind", content = "spec")]
pub enum Spec {
    /// A client account.
    ClientAccount(resource::ClientAccountSpec),
    /// An endpoint.
    Endpoint(resource::EndpointSpec),
    /// An endpoint pool.
    EndpointPool(resource::EndpointPoolSpec),
    /// An order to an engine.
    EngineOrder(resource::EngineOrderSpec),
    /// A planned stop.
    PlannedStop(resource::PlannedStopSpec),
    /// A tier.
    Tier(resource::TierSpec),
}

impl Spec {
    /// Returns the kind.
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

/// Holds one resource: what is wanted, what is accepted and what holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resource {
    /// The name, unique within the kind.
    pub name: String,
    /// What the operator wants.
    #[serde(flatten)]
    pub spec: Spec,
    /// How often the spec has been accepted, from 1; 0 in a resource not yet accepted.
    #[serde(default)]
    pub generation: u64,
    /// The root version that accepted the spec; replacing compares it.
    #[serde(default)]
    pub resource_version: u64,
    /// What holds; `None` in what operators send and in what is stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<resource::Status>,
}

impl Resource {
    /// Returns the resource's identity.
    pub fn key(&self) -> resource::ResourceKey {
        resource::ResourceKey { kind: self.spec.kind(), name: self.name.clone() }
    }
}
