//! What a policy knows of the pool from its configuration.

use trefoildyke_types::id;

use crate::experiment::scenario;

/// Describes the pool as its configuration does: speeds are not declared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// How many entry hosts there are.
    pub hosts: u16,
    /// The endpoints, by position.
    pub endpoints: Vec<FleetEndpoint>,
    /// The client accounts and their weights.
    pub accounts: Vec<(id::AccountName, u32)>,
}

/// Describes an endpoint as its configuration does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetEndpoint {
    /// The name.
    pub name: id::EndpointName,
    /// How many requests it runs at once.
    pub slots: u32,
    /// How many prompt tokens its prefix cache holds.
    pub cache_tokens: u32,
}

impl Fleet {
    /// Returns what the configuration of `scenario` tells.
    pub fn new(scenario: &scenario::Scenario) -> Self {
        let mut endpoints = Vec::new();
        for group in &scenario.engines {
            for _ in 0..group.count {
                endpoints.push(FleetEndpoint {
                    name: id::EndpointName::new(&format!("endpoint-{:02}", endpoints.len())),
                    slots: group.slots,
                    cache_tokens: group.cache_tokens,
                });
            }
        }
        let accounts = scenario.accounts.iter();
        let accounts = accounts.map(|plan| (id::AccountName::new(&plan.name), plan.weight));
        Self { hosts: scenario.hosts, endpoints, accounts: accounts.collect() }
    }
}
