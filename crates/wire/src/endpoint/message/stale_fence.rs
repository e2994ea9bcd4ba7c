//! The answer to an order with an old fencing token.

/// Refuses an order because a newer fencing token has been seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StaleFence {
    /// The newest fencing token that the engine has seen.
    pub current_fence: u64,
}
