//! Who may operate the system.

use crate::operators;

/// Holds who may operate the system, and the limits of the operators' face.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// SHA-256 hashes of the operators' tokens, 64 lower-case hexadecimal digits each.
    pub token_hashes: Vec<String>,
    /// Limits of the face.
    pub limits: operators::Settings,
}
