//! Request classes of a scenario.

use crate::experiment::scenario;

/// Describes a request class: its tier and its lengths.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPlan {
    /// The name.
    pub name: String,
    /// The tier's name.
    pub tier: String,
    /// The class's part of the arrivals, relative to the other classes.
    pub share: f64,
    /// The prompt's length, without the shared prefix.
    pub prompt: scenario::TokenRange,
    /// The answer's length.
    pub output: scenario::TokenRange,
    /// Shared prompt prefixes; `None` if the class has none.
    #[serde(default)]
    pub prefixes: Option<scenario::PrefixPlan>,
    /// The deadline, in milliseconds; `None` takes the tier's.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
}
