//! Settings of a pool's decisions.

use std::time;

/// Holds the settings of the decisions on one pool.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PoolParams {
    /// The time between two tokens that is assumed of an endpoint before it was measured; 4 ms.
    pub step_ms: f64,
    /// How long a prompt token takes at the assumed step time before it was measured, in milliseconds; 1/38.
    pub prompt_ms: f64,
    /// How much longer the time to the first event weighs than the rest of a stream; 2.
    pub first_weight: f64,
    /// How much the delay weighs that a prompt means for each stream beside it; 0.3.
    pub beside_weight: f64,
    /// How much the time weighs that reading again takes of what a prompt pushes out of an endpoint's memory; 0.5.
    pub displaced_weight: f64,
    /// The part of the longest unnoticed pause that the prompts at an endpoint may take; 0.6.
    pub pause_part: f64,
    /// How much the time beyond it weighs for each stream there; 2.
    pub pause_weight: f64,
    /// What a slot of an endpoint costs that is twice as fast as the mean, in milliseconds; 150.
    ///
    /// More than a short prompt gains there, less than a long one does: fast endpoints are kept
    /// for long prompts, whose reading stalls the streams beside them the least there.
    pub fast_ms: f64,
    /// What an endpoint in another availability zone costs, in milliseconds; 5.
    ///
    /// More than the way there and back, since bytes between availability zones are paid for.
    pub zone_ms: f64,
    /// What the certainty of a failed answer costs, in milliseconds; 3,000.
    pub failure_ms: f64,
    /// The part of the time left that the predicted wait may fill; 0.7.
    pub patience_part: f64,
    /// From how many slots on a plain endpoint may have one request waiting at it while all are taken; 4.
    pub queue_slots: u32,
    /// The part of the slots that the last of several ranks leaves free; 0.04.
    pub reserve: f64,
    /// The part of the time left that the expected answer may fill; 1.
    ///
    /// Callers' estimates are far off either way, so a lower value would keep out too many.
    pub feasible_part: f64,
    /// The time to a first event beside the prompt's own before it was measured, in milliseconds; 60.
    pub first_ms: f64,
    /// The shortest time after which a refused caller is asked to come back; 300 ms.
    pub least_retry_after: time::Duration,
    /// How many tokens of prompts an engine is assumed to keep; 130,000.
    ///
    /// Four fifths of what the smallest engines known have memory for: the rest is taken by what runs.
    pub kept_tokens: u32,
    /// How long an endpoint with work may say nothing before it is suspected; 600 ms.
    ///
    /// Long prompts stall the streams beside them for up to about 300 ms on slow engines.
    pub silence: time::Duration,
    /// How long an endpoint gets nothing after a failed connection; 400 ms, doubled each time.
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
            displaced_weight: 0.5,
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
            kept_tokens: 130_000,
            silence: time::Duration::from_millis(600),
            pause: time::Duration::from_millis(400),
            longest_pause: time::Duration::from_secs(3),
        }
    }
}
