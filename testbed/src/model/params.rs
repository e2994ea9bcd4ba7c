//! Parameters of a modelled engine.

use std::time;

/// The speeds of the four generations of hardware, the newest first, as factors.
pub const GENERATION_SPEEDS: [f64; 4] = [1.0, 0.7, 0.5, 0.35];

/// Sets the speed and the limits of one engine.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Params {
    /// The speed factor; a step's cost is divided by it. Above 0.
    pub speed: f64,
    /// The most streams in a batch; at least 1.
    pub slots: u32,
    /// The most prompt tokens that one step processes; at least 1.
    pub chunk_tokens: u32,
    /// The cost of a step without any work, in microseconds.
    pub base_us: f64,
    /// The cost added by each stream that decodes in the step, in microseconds.
    pub decode_us: f64,
    /// The cost added by each prompt token processed in the step, in microseconds.
    pub prefill_us: f64,
    /// The shortest step of any engine; at least 5 ms.
    pub min_step: time::Duration,
    /// How many blocks the prefix cache holds; 0 turns it off.
    pub cache_blocks: u32,
    /// How late a cache event is published.
    pub event_lag: time::Duration,
    /// Loses about one cache event in so many; 0 loses none.
    pub event_loss: u32,
    /// How old a load report is when it is read.
    pub report_lag: time::Duration,
    /// Makes the choice of lost cache events differ between engines.
    pub seed: u64,
}

impl Default for Params {
    fn default() -> Self {
        Self {
            speed: GENERATION_SPEEDS[0],
            slots: 16,
            chunk_tokens: 512,
            base_us: 5_000.0,
            decode_us: 100.0,
            prefill_us: 20.0,
            min_step: time::Duration::from_millis(5),
            cache_blocks: 4_096,
            event_lag: time::Duration::from_millis(500),
            event_loss: 50,
            report_lag: time::Duration::from_millis(1_000),
            seed: 0,
        }
    }
}

impl Params {
    /// Returns the length of a step that processes `prefill` prompt tokens and decodes for
    /// `decoding` streams, on an engine that keeps its usual speed.
    pub fn step_time(&self, prefill: u32, decoding: u32) -> time::Duration {
        let prefill_cost = self.prefill_us * f64::from(prefill);
        let decode_cost = self.decode_us * f64::from(decoding);
        let cost_us = (self.base_us + prefill_cost + decode_cost) / self.speed;
        time::Duration::from_micros(cost_us as u64).max(self.min_step)
    }
}
