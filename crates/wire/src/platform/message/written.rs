//! The answer to a write that took effect.

/// The answer to a write that took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Written {
    /// The revision of the write.
    pub revision: u64,
}
