//! Shared prompt prefixes of a scenario.

use crate::experiment::scenario;

/// Describes the prompt prefixes that requests of a class share.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PrefixPlan {
    /// How many different prefixes there are; at least 1.
    pub count: u32,
    /// The length of a prefix.
    pub tokens: scenario::TokenRange,
    /// How unevenly they are used: prefix N is drawn with a weight of N to the power of minus
    /// `skew`.
    #[serde(default)]
    pub skew: f64,
}
