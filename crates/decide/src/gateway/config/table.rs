//! Lookups in one version of the configuration.

use std::collections;

use trefoildyke_types::id;

use crate::gateway;

/// An index of the routes, client accounts and services of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    config: gateway::Config,
    /// The indices of the routes of each host, the longest prefix first.
    hosts: collections::HashMap<String, Vec<usize>>,
    /// The index of the account of each API key.
    keys: collections::HashMap<Vec<u8>, usize>,
    /// The index of the account of each name.
    accounts: collections::HashMap<id::AccountName, usize>,
    services: collections::HashMap<id::PoolName, usize>,
    /// Whether neither the keys of requests nor the age of the configuration play a part.
    ignores_keys: bool,
}

/// The route and client account of a request.
#[derive(Clone, Copy, Debug)]
pub struct Admitted<'a> {
    /// The route.
    pub route: &'a gateway::Route,
    /// The client account; `None` on public routes and where no key is needed.
    pub account: Option<&'a gateway::Account>,
}

/// The reason why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// No route matches.
    NoRoute,
    /// The API key is missing or belongs to no account.
    NoKey,
    /// The API key belongs to no account that could be read, and there are others.
    Unreadable,
    /// The configuration is not known to be in force: keys may have been revoked or come into use, and the route
    /// may need one.
    Unconfirmed,
}

impl Table {
    /// Creates an index of `config`.
    pub fn new(config: gateway::Config) -> Self {
        let mut hosts: collections::HashMap<String, Vec<usize>> = collections::HashMap::new();
        for (index, route) in config.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(config.routes[*index].prefix.len()));
        }
        let accounts = index_names(&config.accounts);
        let keys = index_keys(&config.accounts, &accounts);
        let named = |(index, service): (usize, &gateway::Service)| (service.name.clone(), index);
        let services = config.services.iter().enumerate().map(named).collect();
        Self { config, hosts, keys, accounts, services, ignores_keys: false }
    }

    /// Ignores the keys of requests and the age of the configuration while it has no list of accounts, for
    /// deployments that do not use client accounts.
    pub fn with_unused_keys(mut self) -> Self {
        self.ignores_keys = self.config.keyless;
        self
    }

    /// Returns the account with this name.
    pub fn account(&self, name: &id::AccountName) -> Option<&gateway::Account> {
        self.accounts.get(name).map(|index| &self.config.accounts[*index])
    }

    /// Returns the indexed configuration.
    pub const fn config(&self) -> &gateway::Config {
        &self.config
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &id::PoolName) -> Option<&gateway::Service> {
        self.services.get(name).map(|index| &self.config.services[*index])
    }

    /// Returns the client account of a request to `route`, which is `None` if no route matches.
    ///
    /// Only requests to public routes are admitted or denied by a version that is not `confirmed`, whatever the
    /// other lookups would find.
    ///
    /// # Errors
    ///
    /// Fails if no route matches, if the request needs an API key, if `key` belongs to no account, or if that
    /// cannot be told.
    pub fn admit<'a>(
        &'a self,
        route: Option<&'a gateway::Route>,
        key: Option<&[u8]>,
        confirmed: bool,
    ) -> Result<Admitted<'a>, Denied> {
        if let Some(route) = route.filter(|route| route.public || self.ignores_keys) {
            return Ok(Admitted { route, account: None });
        }
        if !confirmed {
            return Err(Denied::Unconfirmed);
        }
        let route = route.ok_or(Denied::NoRoute)?;
        if self.config.keyless && key.is_none() {
            return Ok(Admitted { route, account: None });
        }
        let key = key.ok_or(Denied::NoKey)?;
        let unknown = if self.config.unreadable > 0 { Denied::Unreadable } else { Denied::NoKey };
        let index = self.keys.get(key).ok_or(unknown)?;
        Ok(Admitted { route, account: Some(&self.config.accounts[*index]) })
    }

    /// Returns the route with the longest prefix that matches a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&gateway::Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name).or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        let mut routes = routes.iter().map(|index| &self.config.routes[*index]);
        routes.find(|route| path.starts_with(&route.prefix))
    }
}

/// Returns the index of the account of each name, that with the tightest quota if there are several.
fn index_names(accounts: &[gateway::Account]) -> collections::HashMap<id::AccountName, usize> {
    let mut names: collections::HashMap<id::AccountName, usize> = collections::HashMap::new();
    for (index, account) in accounts.iter().enumerate() {
        let tightest = names.entry(account.name.clone()).or_insert(index);
        if account.is_tighter_than(&accounts[*tightest]) {
            *tightest = index;
        }
    }
    names
}

/// Returns the index of the account of each key, which is the first account with that key.
fn index_keys(
    accounts: &[gateway::Account],
    names: &collections::HashMap<id::AccountName, usize>,
) -> collections::HashMap<Vec<u8>, usize> {
    let mut keys = collections::HashMap::new();
    for account in accounts {
        for key in account.keys.iter().filter(|key| !key.is_empty()) {
            keys.entry(key.clone().into_bytes()).or_insert(names[&account.name]);
        }
    }
    keys
}
