//! Client accounts of a scenario.

/// Describes a client account of a scenario.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountPlan {
    /// The name.
    pub name: String,
    /// The account's part of the arrivals, relative to the other accounts.
    pub share: f64,
    /// The account's weight in fair sharing; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}
