//! One version of the complete configuration.

use std::{collections, sync};

use trefoildyke_types::{id, resource};

use crate::config::{KeyHash, state::indices};

/// One version of the complete configuration.
///
/// A snapshot is immutable. [`crate::config::apply`] creates the next snapshot, which shares all unchanged
/// resources with this one.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The root version; 0 before the first change.
    version: u64,
    /// All resources; each `resource_version` is at most `version`.
    resources: collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>>,
    /// The indices, derived from `resources` alone.
    indices: indices::Indices,
}

impl Snapshot {
    /// Creates a snapshot of valid resources at `version`.
    pub fn new(
        version: u64,
        resources: collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>>,
    ) -> Self {
        let indices = indices::Indices::new(&resources);
        Self { version, resources, indices }
    }

    /// Creates a snapshot of valid resources in any order at `version`.
    pub fn from_resources(version: u64, resources: Vec<resource::Resource>) -> Self {
        let keyed = resources.into_iter().map(|resource| (resource.key(), resource.into()));
        Self::new(version, keyed.collect())
    }

    /// Returns the root version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns all resources, sorted by kind and name.
    pub const fn resources(
        &self,
    ) -> &collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>> {
        &self.resources
    }

    /// Returns the resource of a kind with a name.
    pub fn resource(&self, kind: resource::Kind, name: &str) -> Option<&resource::Resource> {
        let key = resource::ResourceKey { kind, name: name.to_owned() };
        self.resources.get(&key).map(|resource| &**resource)
    }

    /// Returns the resources of one kind, sorted by name.
    pub fn of_kind(
        &self,
        kind: resource::Kind,
    ) -> impl Iterator<Item = &sync::Arc<resource::Resource>> {
        let first = resource::ResourceKey { kind, name: String::new() };
        self.resources
            .range(first..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, resource)| resource)
    }

    /// Returns the name of the account that has the key with the given hash.
    pub fn account_by_key(&self, hash: &KeyHash) -> Option<&id::AccountName> {
        self.indices.accounts.get(hash)
    }

    /// Returns the spec of an account.
    pub fn account(&self, name: &id::AccountName) -> Option<&resource::ClientAccountSpec> {
        match &self.resource(resource::Kind::ClientAccount, name.as_str())?.spec {
            resource::Spec::ClientAccount(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the spec of a pool.
    pub fn pool(&self, name: &id::PoolName) -> Option<&resource::EndpointPoolSpec> {
        match &self.resource(resource::Kind::EndpointPool, name.as_str())?.spec {
            resource::Spec::EndpointPool(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the spec of an endpoint.
    pub fn endpoint(&self, name: &id::EndpointName) -> Option<&resource::EndpointSpec> {
        match &self.resource(resource::Kind::Endpoint, name.as_str())?.spec {
            resource::Spec::Endpoint(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the names of a pool's endpoints, sorted.
    pub fn endpoints_of(&self, pool: &id::PoolName) -> &[id::EndpointName] {
        self.indices.endpoints.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the spec of a tier.
    pub fn tier(&self, name: &id::TierName) -> Option<&resource::TierSpec> {
        match &self.resource(resource::Kind::Tier, name.as_str())?.spec {
            resource::Spec::Tier(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns the tiers by rank, the most urgent first.
    pub const fn tiers(&self) -> &collections::BTreeMap<u8, id::TierName> {
        &self.indices.tiers
    }

    /// Returns whether a planned stop is declared for the endpoint, its host or its pool.
    pub fn stops_endpoint(&self, name: &id::EndpointName) -> bool {
        let stops = &self.indices.stops;
        stops.endpoints.contains(name)
            || self.endpoint(name).is_some_and(|endpoint| {
                stops.hosts.contains(&endpoint.host) || stops.pools.contains(&endpoint.pool)
            })
    }

    /// Returns whether a planned stop is declared for the host.
    pub fn stops_host(&self, host: &id::HostName) -> bool {
        self.indices.stops.hosts.contains(host)
    }

    /// Returns whether a planned stop is declared for the pool.
    pub fn stops_pool(&self, pool: &id::PoolName) -> bool {
        self.indices.stops.pools.contains(pool)
    }
}
