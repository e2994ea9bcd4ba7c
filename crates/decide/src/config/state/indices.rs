//! Indices that are derived from the resources.

use std::{collections, sync};

use trefoildyke_types::{id, resource};

use crate::config::KeyHash;

/// The targets of planned stops.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stops {
    /// The endpoints that are targets of planned stops.
    pub(crate) endpoints: collections::BTreeSet<id::EndpointName>,
    /// The hosts that are targets of planned stops.
    pub(crate) hosts: collections::BTreeSet<id::HostName>,
    /// The pools that are targets of planned stops.
    pub(crate) pools: collections::BTreeSet<id::PoolName>,
}

/// Indices over the resources of one snapshot.
#[derive(Clone, Debug, Default)]
pub(crate) struct Indices {
    /// The account of each key hash; no two accounts share a key.
    pub(crate) accounts: collections::HashMap<KeyHash, id::AccountName>,
    /// The endpoints of each pool, sorted.
    pub(crate) endpoints: collections::BTreeMap<id::PoolName, Vec<id::EndpointName>>,
    /// The tiers by rank; no two tiers share a rank.
    pub(crate) tiers: collections::BTreeMap<u8, id::TierName>,
    /// The targets of planned stops.
    pub(crate) stops: Stops,
}

impl Indices {
    /// Creates the indices of valid resources.
    pub(crate) fn new(
        resources: &collections::BTreeMap<resource::ResourceKey, sync::Arc<resource::Resource>>,
    ) -> Self {
        let mut indices = Self::default();
        for resource in resources.values() {
            indices.add(resource);
        }
        indices
    }

    fn add(&mut self, resource: &resource::Resource) {
        let name = resource.name.as_str();
        match &resource.spec {
            resource::Spec::ClientAccount(spec) => self.add_account(name, spec),
            resource::Spec::Endpoint(spec) => {
                self.endpoints.entry(spec.pool.clone()).or_default().push(name.into());
            }
            resource::Spec::PlannedStop(spec) => self.stops.add(&spec.target),
            resource::Spec::Tier(spec) => {
                self.tiers.insert(spec.rank, name.into());
            }
            resource::Spec::EndpointPool(_) | resource::Spec::EngineOrder(_) => {}
        }
    }

    fn add_account(&mut self, name: &str, spec: &resource::ClientAccountSpec) {
        let name = id::AccountName::new(name);
        let hashes = spec.key_hashes.iter().filter_map(|hash| hash.parse().ok());
        self.accounts.extend(hashes.map(|hash| (hash, name.clone())));
    }
}

impl Stops {
    fn add(&mut self, target: &resource::StopTarget) {
        match target {
            resource::StopTarget::Endpoint(name) => self.endpoints.insert(name.clone()),
            resource::StopTarget::Host(name) => self.hosts.insert(name.clone()),
            resource::StopTarget::Pool(name) => self.pools.insert(name.clone()),
        };
    }
}
