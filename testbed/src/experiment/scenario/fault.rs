//! Faults of a scenario.

/// Describes an engine that becomes slow without warning.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Straggler {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// The engine's position, from 0.
    pub endpoint: u16,
    /// How many times longer each step takes; above 1.
    pub factor: f64,
    /// For how long, in milliseconds; `None` until the end.
    #[serde(default)]
    pub for_ms: Option<u64>,
}

/// Describes an endpoint that the platform takes back.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TakeBack {
    /// When the endpoint is gone, in milliseconds from the start.
    pub at_ms: u64,
    /// The engine's position, from 0.
    pub endpoint: u16,
    /// How long before it is listed as leaving, in milliseconds; 0 for a loss without warning.
    #[serde(default)]
    pub notice_ms: u64,
    /// How long after the loss it is noticed, in milliseconds.
    #[serde(default = "default_detect")]
    pub detect_ms: u64,
}

/// Describes the loss of the process that schedules the pool.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LostScheduler {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// How long until the coordinators have noticed and ask the next scheduler, in milliseconds.
    #[serde(default = "default_detect")]
    pub detect_ms: u64,
}

fn default_detect() -> u64 {
    300
}
