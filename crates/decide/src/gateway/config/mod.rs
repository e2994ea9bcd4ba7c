//! The configuration of a gateway and the look-ups on it.

mod account;
mod limits;
mod route;
mod service;
mod table;

pub use account::{Account, AccountUnit};
pub use limits::Limits;
pub use route::{Route, RouteKind, Target};
pub use service::Service;
pub use table::{Admitted, Denied, Table};

/// Holds one version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Config {
    /// Rises with each change; a gateway never goes back to a lower one.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// The client accounts; if there are none, no request needs a key.
    pub accounts: Vec<Account>,
    /// What a caller may send.
    pub limits: Limits,
}
