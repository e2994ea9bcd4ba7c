//! How late and how gappy the engines' reports are.

/// Describes load reports and cache events of the engines.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportPlan {
    /// The time between load reports, in milliseconds.
    pub period_ms: u64,
    /// How old a load report is when it is read, in milliseconds.
    pub lag_ms: u64,
    /// How late cache events come, in milliseconds.
    pub cache_lag_ms: u64,
    /// The share of cache events that are lost.
    pub cache_gaps: f64,
}
