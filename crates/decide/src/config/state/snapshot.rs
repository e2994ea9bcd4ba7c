//! One version of the whole configuration.

use std::{collections, sync};

use trefoildyke_types::{id, resource};

use crate::config::{KeyHash, state::indices};

/// Holds one version of the whole configuration.
///
/// A snapshot never changes; [`crate::config::apply`] makes the next one, which shares every
/// resource that stayed the same.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The root version; 0 before the first change.
    version: u64,
    /// Every resource; each `resource_version` is at most `version`.
    resources: collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>>,
    /// Follows from `resources` alone.
    indices: indices::Indices,
}

impl Snapshot {
    /// Creates a snapshot of resources that an earlier snapshot held at `version`.
    pub fn new(
        version: u64,
        resources: collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>>,
    ) -> Self {
        let indices = indices::Indices::new(&resources);
        Self { version, resources, indices }
    }

    /// Creates a snapshot of resources in any order.
    pub fn of(version: u64, resources: Vec<resource::Resource>) -> Self {
        let keyed = resources.into_iter().map(|resource| (resource.key(), resource.into()));
        Self::new(version, keyed.collect())
    }

    /// Returns the root version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns every resource, sorted by kind and name.
    pub const fn resources(
        &self,
    ) -> &collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>> {
        &self.resources
    }

    /// Returns a resource.
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

    /// Returns the account that a key's hash belongs to.
    pub fn account_by_key(&self, hash: &KeyHash) -> Option<&id::AccountName> {
        self.indices.accounts.get(hash)
    }

    /// Returns an account.
    pub fn account(&self, name: &id::AccountName) -> Option<&resource::ClientAccountSpec> {
        match &self.resource(resource::Kind::ClientAccount, name.as_str())?.spec {
            resource::Spec::ClientAccount(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns a pool.
    pub fn pool(&self, name: &id::PoolName) -> Option<&resource::EndpointPoolSpec> {
        match &self.resource(resource::Kind::EndpointPool, name.as_str())?.spec {
            resource::Spec::EndpointPool(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns an endpoint.
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

    /// Returns a tier.
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

    /// Returns whether a planned stop of the endpoint, its host or its pool holds.
    pub fn stops_endpoint(&self, name: &id::EndpointName) -> bool {
        let stops = &self.indices.stops;
        stops.endpoints.contains(name)
            || self.endpoint(name).is_some_and(|endpoint| {
                stops.hosts.contains(&endpoint.host) || stops.pools.contains(&endpoint.pool)
            })
    }

    /// Returns whether a planned stop of the host holds.
    pub fn stops_host(&self, host: &id::HostName) -> bool {
        self.indices.stops.hosts.contains(host)
    }

    /// Returns whether a planned stop of the pool holds.
    pub fn stops_pool(&self, pool: &id::PoolName) -> bool {
        self.indices.stops.pools.contains(pool)
    }
}
