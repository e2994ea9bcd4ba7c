//! The versions of a service's endpoints that may run requests.

use trefoildyke_types::id;

/// The versions that may run requests, to the knowledge of one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gate {
    /// The version that gets the requests; `None` while no endpoint is known.
    pub full: Option<id::VersionName>,
    /// The version that gets a small share of the requests.
    pub canary: Option<Canary>,
}

/// A canary version and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Canary {
    /// The number of the rollout order.
    pub order: u64,
    /// The canary version.
    pub version: id::VersionName,
    /// The fraction of the requests that the version gets; 0 to 1.
    pub share: f64,
}

/// The requests that a version may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// All requests.
    Full,
    /// A small share of the requests.
    Canary,
    /// No requests.
    None,
}

impl Gate {
    /// Returns the requests that the endpoints of a version may run.
    pub fn access(&self, version: &id::VersionName) -> Access {
        if self.canary.as_ref().is_some_and(|canary| canary.version == *version) {
            return Access::Canary;
        }
        match &self.full {
            Some(full) if full != version => Access::None,
            _ => Access::Full,
        }
    }
}
