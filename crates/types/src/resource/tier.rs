//! Tiers: which requests survive overload.

/// Describes a tier.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// The rank; 0 is the most urgent and the last to be shed. No two tiers share a rank.
    pub rank: u8,
    /// The deadline of requests that name none, in milliseconds; at least 1.
    pub deadline_ms: u64,
}
