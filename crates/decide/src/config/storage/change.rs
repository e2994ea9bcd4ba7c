//! One accepted change.

use trefoildyke_types::id;

use crate::config;

/// Holds one accepted change with the version that it made.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The root version that the change made.
    pub version: u64,
    /// The mark of the writer's attempt.
    pub nonce: id::Nonce,
    /// What changed.
    pub set: config::ChangeSet,
}
