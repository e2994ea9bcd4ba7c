//! The versions of a service's endpoints that may run requests.

use std::collections;

use trefoildyke_types::id;

/// The versions that may run requests, to the knowledge of one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gate {
    /// The versions that may run all requests.
    pub full: VersionSet,
    /// The version that gets a small share of the requests.
    pub canary: Option<Canary>,
}

/// A set of versions of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionSet {
    /// One version.
    Only(id::VersionName),
    /// All versions but these.
    AllBut(collections::BTreeSet<id::VersionName>),
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
        if self.full.contains(version) { Access::Full } else { Access::None }
    }
}

impl VersionSet {
    /// Returns whether the set contains a version.
    pub fn contains(&self, version: &id::VersionName) -> bool {
        match self {
            Self::Only(only) => only == version,
            Self::AllBut(excluded) => !excluded.contains(version),
        }
    }
}

impl Default for VersionSet {
    /// Returns the set of all versions.
    fn default() -> Self {
        Self::AllBut(collections::BTreeSet::new())
    }
}
