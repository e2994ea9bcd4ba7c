//! The configuration of a gateway and lookups in it.

use std::collections;

mod account;
mod limits;
mod patch;
mod route;
mod service;
mod table;

pub use account::{Account, AccountUnit};
pub use limits::Limits;
pub use patch::{ConfigPatch, PatchError};
pub use route::{Route, RouteKind, Target};
pub use service::Service;
pub use table::{Admitted, Denied, Table};

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Config {
    /// The version number, which increases with each change; a gateway never returns to a lower
    /// version.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services that are targets of routes.
    pub services: Vec<Service>,
    /// The client accounts; with an empty list, no API key is valid.
    pub accounts: Vec<Account>,
    /// Whether requests need no API key, as the operators have configured no list of accounts. There are no
    /// accounts then.
    pub keyless: bool,
    /// The number of accounts that could not be read. A key that no other account has may belong to one of them.
    pub unreadable: usize,
    /// Limits on the requests of callers.
    pub limits: Limits,
}

impl Config {
    /// Returns how many names and keys of accounts are listed more than once.
    pub fn duplicates(&self) -> usize {
        let mut seen = collections::HashSet::new();
        let names = self.accounts.iter().map(|account| (true, account.name.as_str()));
        let keys = self.accounts.iter().flat_map(|account| &account.keys);
        let keys = keys.map(|key| (false, key.as_str()));
        names.chain(keys).filter(|item| !seen.insert(*item)).count()
    }
}
