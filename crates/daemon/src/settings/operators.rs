//! Settings of the operators' API.

use crate::operators;

/// The tokens of operators and the limits of their API.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Operators {
    /// SHA-256 hashes of the operators' tokens, 64 lower-case hexadecimal digits each.
    pub token_hashes: Vec<String>,
    /// The limits of the API.
    pub limits: operators::Settings,
}
