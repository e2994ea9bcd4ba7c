//! What daemons know of the version that began a stream, and what follows from it.

use std::collections;

use trefoildyke_types::id;

use crate::gateway::SourceReport;

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
    /// The version if the endpoint that accepted a connection had its listed version.
    Assumed {
        /// The version.
        version: id::VersionName,
        /// The connection that brought the stream.
        source: SourceReport,
    },
    /// The stream is known, its version is not.
    Doubtful,
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
        _ => None,
    });
    known.or_else(|| only_possible(origins))
}

/// Returns the version that is assumed to have begun a stream of which no daemon knows the version, and the
/// connection that brought it.
pub fn assumed(origins: &[Origin]) -> Option<(&id::VersionName, &SourceReport)> {
    origins.iter().find_map(|origin| match origin {
        Origin::Assumed { version, source } => Some((version, source)),
        _ => None,
    })
}

fn only_possible(origins: &[Origin]) -> Option<id::VersionName> {
    let unknown = origins.iter().map(|origin| match origin {
        Origin::Unknown(possible) => Some(possible),
        _ => None,
    });
    let unknown: Vec<_> = unknown.collect::<Option<_>>()?;
    let is_complete = unknown.iter().any(|possible| possible.is_complete);
    let mut versions = unknown.iter().flat_map(|possible| &possible.versions);
    let first = versions.next()?;
    (is_complete && versions.all(|version| version == first)).then(|| first.clone())
}
