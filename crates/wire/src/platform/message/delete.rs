//! The request to delete one key.

/// A request to delete one key.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delete {
    /// The key.
    pub key: String,
    /// The revision that the key must have; 0 if it must not exist, `None` for no condition.
    pub expect: Option<u64>,
}
