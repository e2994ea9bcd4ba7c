//! The answer to an order with an outdated fencing token.

/// The refusal of an order because the engine has seen a newer fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaleFence {
    /// The newest fencing token that the engine has seen.
    pub current_fence: u64,
}
