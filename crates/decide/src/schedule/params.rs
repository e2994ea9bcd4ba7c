//! Settings of the scheduler.

use std::time;

/// Holds the settings of a shard's scheduler. Durations are whole microseconds or longer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Params {
    /// How long a permit holds before its dispatch must have been reported; 2 s.
    ///
    /// The scheduler itself waits half as long again, for a report that is on its way.
    pub permit_ttl: time::Duration,
    /// The prompt speed assumed of an endpoint before it was measured; 20,000 tokens a second.
    pub prefill_rate: f64,
    /// The step time assumed of an endpoint before it was measured; 8 ms.
    pub step_time: time::Duration,
    /// How much prompt work an endpoint may have outstanding and still get more; 150 ms.
    pub prefill_queue: time::Duration,
    /// From how much prompt work on a request counts as long; 150 ms.
    pub long_prefill: time::Duration,
    /// The share of the endpoints that may process a long prompt at a time, at least one; 0.5.
    pub long_share: f64,
    /// How many times its own length unshared prompt work weighs more in placing; 40.
    ///
    /// 0 places by the predicted finish alone. A high weight costs the waiting little: what is not
    /// processed twice is left for others.
    pub prefill_weight: f64,
    /// How many times its own length the time to the first token weighs more in placing; 2.
    pub first_weight: f64,
    /// How long a request may be held for a better endpoint that is not free; 1 s.
    pub hold_limit: time::Duration,
    /// The part of the time left that the predicted wait and service may fill; 0.9.
    ///
    /// Above it the request is shed. Lower values shed earlier and waste less.
    pub shed_margin: f64,
    /// The longest retry-after that a refusal names; 30 s.
    pub retry_limit: time::Duration,
    /// From how many times its own usual step time on, against its peers, an endpoint is
    /// suspended; 2.5.
    pub straggler_ratio: f64,
    /// How long an endpoint with work in progress may say nothing before it is suspended; 1 s.
    ///
    /// Extended to four times the usual time between two reports.
    pub silence_limit: time::Duration,
    /// How often a suspended endpoint is probed; 1 s.
    pub probe_interval: time::Duration,
    /// How long an endpoint is suspended for being slow before its new speed is taken as usual; 5 s.
    pub accept_after: time::Duration,
}

impl Params {
    /// Returns up to how many times the usual step time an endpoint counts as recovered.
    pub(super) fn recovery_ratio(&self) -> f64 {
        1.0 + (self.straggler_ratio - 1.0) / 2.0
    }
}

impl Default for Params {
    fn default() -> Self {
        Self {
            permit_ttl: time::Duration::from_secs(2),
            prefill_rate: 20_000.0,
            step_time: time::Duration::from_millis(8),
            prefill_queue: time::Duration::from_millis(150),
            long_prefill: time::Duration::from_millis(150),
            long_share: 0.5,
            prefill_weight: 40.0,
            first_weight: 2.0,
            hold_limit: time::Duration::from_secs(1),
            shed_margin: 0.9,
            retry_limit: time::Duration::from_secs(30),
            straggler_ratio: 2.5,
            silence_limit: time::Duration::from_secs(1),
            probe_interval: time::Duration::from_secs(1),
            accept_after: time::Duration::from_secs(5),
        }
    }
}
