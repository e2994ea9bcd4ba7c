//! The settings of a pool's decisions.

use std::time;

/// The settings of the decisions on one pool.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolParams {
    /// The time between two tokens that is assumed of an endpoint without measurements, in milliseconds; 4.
    pub step_ms: f64,
    /// The time to read a prompt token at the assumed `step_ms`, without measurements, in milliseconds;
    /// 1/38.
    pub prompt_ms: f64,
    /// The weight of the time to the first event, relative to the rest of a stream; 2.
    pub first_weight: f64,
    /// The weight of the delay that reading a prompt causes to each stream running at the endpoint; 0.6.
    pub beside_weight: f64,
    /// The weight of the time to read again what a prompt evicts from an endpoint's prefix cache; 0.5.
    #[serde(rename = "displaced_weight")]
    pub eviction_weight: f64,
    /// The fraction of the longest unnoticed pause of a stream that reading prompts at an endpoint may take;
    /// 0.6.
    pub pause_part: f64,
    /// The weight, for each stream at the endpoint, of the time by which reading prompts exceeds that
    /// fraction; 2.
    pub pause_weight: f64,
    /// The cost of a slot of an endpoint that is twice as fast as the mean, in milliseconds; 300.
    ///
    /// This is more than a short prompt gains there and less than a long prompt does. So fast endpoints are
    /// kept for long prompts, which delay the other streams there the least.
    pub fast_ms: f64,
    /// The cost of an endpoint in another availability zone, in milliseconds; 5.
    ///
    /// This is more than the round trip takes, since traffic between availability zones is charged.
    pub zone_ms: f64,
    /// The cost of an answer that is certain to fail, in milliseconds; 3,000.
    pub failure_ms: f64,
    /// The fraction of a request's remaining time that its predicted wait may take; 0.7.
    pub patience_part: f64,
    /// The number of slots from which a plain endpoint may have one more request queued at it while all
    /// slots are taken; 4.
    pub queue_slots: u32,
    /// The fraction of the slots that requests of the last of several ranks leave free; 0.04.
    pub reserve: f64,
    /// The fraction of the remaining time that the expected answer may take; 1.
    ///
    /// Callers' estimates are far too high or too low, so a lower value would exclude too many requests.
    pub feasible_part: f64,
    /// The time to a first event without the reading of the prompt, assumed without measurements, in
    /// milliseconds; 60.
    pub first_ms: f64,
    /// The shortest time after which a refused caller is asked to retry; 300 ms.
    pub least_retry_after: time::Duration,
    /// The number of prompt tokens that an engine's prefix cache is assumed to hold; 130,000.
    ///
    /// This is four fifths of what the smallest known engines have memory for; running requests use the
    /// rest.
    #[serde(rename = "kept_tokens")]
    pub cache_tokens: u32,
    /// How long an endpoint with running requests may stay silent before it is suspected to have failed;
    /// 600 ms.
    ///
    /// Long prompts delay the other streams by up to about 300 ms on slow engines.
    pub silence: time::Duration,
    /// How long an endpoint gets no requests after a rejection or a failed connection; 400 ms, doubled each
    /// time.
    pub pause: time::Duration,
    /// The longest such pause; 3 s.
    pub longest_pause: time::Duration,
}

impl Default for PoolParams {
    fn default() -> Self {
        Self {
            step_ms: 4.0,
            prompt_ms: 1.0 / 38.0,
            first_weight: 2.0,
            beside_weight: 0.6,
            eviction_weight: 0.5,
            pause_part: 0.6,
            pause_weight: 2.0,
            fast_ms: 300.0,
            zone_ms: 5.0,
            failure_ms: 3_000.0,
            patience_part: 0.7,
            queue_slots: 4,
            reserve: 0.04,
            feasible_part: 1.0,
            first_ms: 60.0,
            least_retry_after: time::Duration::from_millis(300),
            cache_tokens: 130_000,
            silence: time::Duration::from_millis(600),
            pause: time::Duration::from_millis(400),
            longest_pause: time::Duration::from_secs(3),
        }
    }
}
