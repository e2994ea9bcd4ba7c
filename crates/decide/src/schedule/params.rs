//! Settings of the scheduler.

use std::time;

/// Holds the settings of a shard's scheduler. Durations are whole microseconds or longer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Params {
    /// How long a permit holds before its dispatch must have been reported; 2 s.
    pub permit_ttl: time::Duration,
    /// The prompt speed assumed of an endpoint before it was measured; 8,000 tokens a second.
    pub prefill_rate: f64,
    /// The step time assumed of an endpoint before it was measured; 10 ms.
    pub step_time: time::Duration,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            permit_ttl: time::Duration::from_secs(2),
            prefill_rate: 8_000.0,
            step_time: time::Duration::from_millis(10),
        }
    }
}
