//! Which versions of a service's endpoints may run requests.

use trefoildyke_types::id;

/// Says which versions may run requests, as one daemon believes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gate {
    /// The version that gets the requests; `None` while no endpoint is known.
    pub full: Option<id::VersionName>,
    /// The version that gets a small part of them.
    pub canary: Option<Canary>,
}

/// Describes the part of a version that is tried.
#[derive(Clone, Debug, PartialEq)]
pub struct Canary {
    /// The order that it is tried for.
    pub order: u64,
    /// The version.
    pub version: id::VersionName,
    /// The part of the requests that it gets; 0 to 1.
    pub share: f64,
}

/// What a version may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// All requests.
    Full,
    /// A small part of them.
    Canary,
    /// None.
    None,
}

impl Gate {
    /// Returns what the endpoints of a version may run.
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
