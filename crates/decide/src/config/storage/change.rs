//! One accepted change.

use trefoildyke_types::id;

use crate::config;

/// One accepted change with the version that it created.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The root version that the change created.
    pub version: u64,
    /// The nonce of the writer's attempt.
    pub nonce: id::Nonce,
    /// The resources that were put and deleted.
    pub set: config::ChangeSet,
}
