//! What daemons know of the version that began a stream, and what follows from it.

use std::collections;

use trefoildyke_types::id;

/// The versions by service.
pub type VersionsByService =
    collections::BTreeMap<id::PoolName, collections::BTreeSet<id::VersionName>>;

/// The versions of a service that may have begun a stream, to the knowledge of one daemon.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PossibleVersions {
    /// The versions.
    pub versions: collections::BTreeSet<id::VersionName>,
    /// Whether the daemon has known the versions for as long as streams last.
    pub is_complete: bool,
}

/// What one daemon knows of the version that began a stream.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Origin {
    /// The version.
    Known(id::VersionName),
    /// Nothing of this stream.
    Unknown(PossibleVersions),
}

/// Returns the version that began a stream, from what this daemon and the keepers know; `None` if it cannot
/// be told.
///
/// A stream that no daemon knows has the only version that was listed while it can have begun.
pub fn conclude(origins: &[Origin]) -> Option<id::VersionName> {
    let known = origins.iter().find_map(|origin| match origin {
        Origin::Known(version) => Some(version.clone()),
        Origin::Unknown(_) => None,
    });
    known.or_else(|| only_possible(origins))
}

fn only_possible(origins: &[Origin]) -> Option<id::VersionName> {
    let unknown = origins.iter().filter_map(|origin| match origin {
        Origin::Known(_) => None,
        Origin::Unknown(possible) => Some(possible),
    });
    let is_complete = unknown.clone().any(|possible| possible.is_complete);
    let mut versions = unknown.flat_map(|possible| &possible.versions);
    let first = versions.next()?;
    (is_complete && versions.all(|version| version == first)).then(|| first.clone())
}
