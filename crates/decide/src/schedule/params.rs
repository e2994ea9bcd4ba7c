//! Scheduler settings.

use std::time;

/// The settings of a shard's scheduler. Durations are whole microseconds or longer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Params {
    /// How long after a permit its dispatch must be reported; 2 s.
    ///
    /// The scheduler itself waits half as long again, for a report that is in transit.
    pub permit_ttl: time::Duration,
    /// The prompt processing speed assumed for an endpoint until it is measured; 20,000 tokens per
    /// second.
    pub prefill_rate: f64,
    /// The step time assumed for an endpoint until it is measured; 8 ms.
    pub step_time: time::Duration,
    /// The maximum outstanding prompt processing time at which an endpoint still gets new requests;
    /// 150 ms.
    pub prefill_queue: time::Duration,
    /// The prompt processing time from which a request counts as a long prompt; 150 ms.
    pub long_prefill: time::Duration,
    /// The share of the endpoints that may process a long prompt at the same time; 0.5, and always
    /// at least one endpoint.
    pub long_share: f64,
    /// The weight of the prompt processing time that the cache does not save, in the cost of a
    /// placement; 40.
    ///
    /// 0 means that the predicted finish and the time to the first token alone decide. A high
    /// weight delays waiting requests little: work that is not done twice leaves time for other
    /// requests.
    pub prefill_weight: f64,
    /// The weight of the time to the first token in the cost of a placement; 2.
    pub first_weight: f64,
    /// How long a request may be held for a better endpoint that is busy; 1 s.
    pub hold_limit: time::Duration,
    /// The share of the time until a new request's latest useful start that its predicted wait may
    /// take; 0.9.
    ///
    /// A request above it is shed. Lower values shed earlier and waste less work.
    pub shed_margin: f64,
    /// The longest retry-after time in a refusal; 30 s.
    pub retry_limit: time::Duration,
    /// The slowdown, relative to its own baseline and to its peers, from which an endpoint is
    /// suspended; 2.5.
    pub straggler_ratio: f64,
    /// How long an endpoint with requests in progress may be silent before it is suspended; 1 s.
    ///
    /// Extended to four times the average interval between its reports if that is longer, plus time
    /// for its outstanding prompts.
    pub silence_limit: time::Duration,
    /// How often a suspended endpoint is probed; 1 s.
    pub probe_interval: time::Duration,
    /// How long an endpoint is suspended for slowness before its new speed becomes its baseline; 5
    /// s.
    pub accept_after: time::Duration,
}

impl Params {
    /// Returns the slowdown up to which an endpoint counts as recovered.
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
