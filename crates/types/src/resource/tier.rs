//! Tiers: the priority of requests under overload.

/// The specification of a tier.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierSpec {
    /// The rank, unique among the tiers; 0 is the most urgent and the last to be shed.
    pub rank: u8,
    /// The deadline of requests that set none, in milliseconds; at least 1.
    pub deadline_ms: u64,
}
