//! Deleting one key.

/// Deletes one key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delete {
    /// The key.
    pub key: String,
    /// What must hold: `None` for nothing, 0 that the key does not exist, else its revision.
    pub expect: Option<u64>,
}
