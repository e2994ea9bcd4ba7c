//! The learned speed of one endpoint.

use crate::schedule::{self, estimate};

/// The prompt length at which the assumed prompt speed is believed, in tokens.
const PRIOR_TOKENS: f64 = 1_000.0;

/// The windows of the step time's means, in seconds of streaming per stream.
const RECENT_SECONDS: f64 = 0.3;
const USUAL_SECONDS: f64 = 30.0;

/// Slower steps count as this many times the usual, so that a pause is soon forgotten.
const MAX_SLOWNESS: f64 = 20.0;

/// The shortest step time, in seconds, and the lowest prompt speed, in tokens a second, that are
/// believed of a setting.
const LEAST_STEP: f64 = 1e-4;
const LEAST_RATE: f64 = 1.0;

/// How much the assumed step time counts, in seconds.
const PRIOR_SECONDS: f64 = 0.05;

/// Holds what is known of an endpoint's speed; all times are in seconds.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Rates {
    /// The step time over the last moments.
    recent: estimate::Mean,
    /// The step time over a long while; its window is much longer than that of `recent`.
    usual: estimate::Mean,
    /// Prompt processing time by tokens, as at the usual step time.
    prefill: estimate::Line,
}

impl Rates {
    pub(in crate::schedule) fn new(params: &schedule::Params) -> Self {
        let step = params.step_time.as_secs_f64().max(LEAST_STEP);
        let prompt = 1.0 / params.prefill_rate.max(LEAST_RATE);
        Self {
            recent: estimate::Mean::new(step, PRIOR_SECONDS, RECENT_SECONDS),
            usual: estimate::Mean::new(step, PRIOR_SECONDS, USUAL_SECONDS),
            prefill: estimate::Line::new(step, prompt, PRIOR_TOKENS),
        }
    }

    /// Returns the time between two tokens of a stream, as of late.
    pub(in crate::schedule) fn step(&self) -> f64 {
        self.recent.value()
    }

    /// Returns the usual time between two tokens of a stream.
    pub(in crate::schedule) fn usual_step(&self) -> f64 {
        self.usual.value()
    }

    /// Returns how many times longer steps take of late than usual.
    pub(in crate::schedule) fn slowness(&self) -> f64 {
        self.recent.value() / self.usual.value()
    }

    /// Returns how long `tokens` prompt tokens take.
    pub(in crate::schedule) fn prefill(&self, tokens: u32) -> f64 {
        self.prefill.at(f64::from(tokens)) * self.slowness().max(1.0)
    }

    /// Returns how long each further prompt token takes.
    pub(in crate::schedule) fn prefill_token(&self) -> f64 {
        self.prefill.slope() * self.slowness().max(1.0)
    }

    /// Takes in that one of `batch` streams got `tokens` tokens in `seconds`.
    pub(in crate::schedule) fn observe_step(
        &mut self,
        tokens: u32,
        seconds: f64,
        batch: u32,
        is_usual: bool,
    ) {
        let gap = seconds / f64::from(tokens.max(1));
        let gap = gap.min(self.usual.value() * MAX_SLOWNESS);
        let weight = seconds / f64::from(batch.max(1));
        self.recent.observe(gap, weight);
        if is_usual {
            self.usual.observe(gap, weight);
        }
    }

    /// Takes in that `tokens` prompt tokens took `seconds`.
    pub(in crate::schedule) fn observe_prefill(&mut self, tokens: u32, seconds: f64) {
        self.prefill.observe(f64::from(tokens), seconds / self.slowness().max(1.0));
    }

    /// Takes the recent speed as the usual one.
    pub(in crate::schedule) fn accept(&mut self) {
        self.usual.reset(self.recent.value());
    }

    /// Expects the usual speed again.
    pub(in crate::schedule) fn expect_usual(&mut self) {
        self.recent.reset(self.usual.value());
    }
}
