//! The estimated speed of one endpoint.

use crate::schedule::{self, estimate};

/// The prompt length of the point that represents the assumed prompt speed, in tokens.
const PRIOR_TOKENS: f64 = 1_000.0;

/// The windows of the step time's moving averages, in seconds of generation per request.
const RECENT_SECONDS: f64 = 0.3;
const BASELINE_SECONDS: f64 = 30.0;

/// Slower steps count as this many times the baseline, so that one pause affects the average only
/// briefly.
const MAX_SLOWDOWN: f64 = 20.0;

/// The shortest step time, in seconds, and the lowest prompt speed, in tokens per second, that are
/// accepted from the settings.
const MIN_STEP: f64 = 1e-4;
const MIN_PREFILL_RATE: f64 = 1.0;

/// The weight of the assumed step time in the averages, in seconds.
const PRIOR_SECONDS: f64 = 0.05;

/// The estimated speed of an endpoint; all times are in seconds.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Speed {
    /// The average step time of the last moments.
    recent: estimate::MovingAverage,
    /// The average step time over a window much longer than that of `recent`.
    baseline: estimate::MovingAverage,
    /// The prompt processing time by number of tokens, at the baseline step time.
    prefill: estimate::LinearRegression,
}

impl Speed {
    pub(in crate::schedule) fn new(params: &schedule::Params) -> Self {
        let step_time = params.step_time.as_secs_f64().max(MIN_STEP);
        let prompt = 1.0 / params.prefill_rate.max(MIN_PREFILL_RATE);
        Self {
            recent: estimate::MovingAverage::new(step_time, PRIOR_SECONDS, RECENT_SECONDS),
            baseline: estimate::MovingAverage::new(step_time, PRIOR_SECONDS, BASELINE_SECONDS),
            prefill: estimate::LinearRegression::new(step_time, prompt, PRIOR_TOKENS),
        }
    }

    /// Returns the recent time between two tokens of a request.
    pub(in crate::schedule) fn step_time(&self) -> f64 {
        self.recent.value()
    }

    /// Returns the baseline: the long-term average time between two tokens of a request.
    pub(in crate::schedule) fn baseline_step(&self) -> f64 {
        self.baseline.value()
    }

    /// Returns the ratio of the recent step time to the baseline.
    pub(in crate::schedule) fn slowdown(&self) -> f64 {
        self.recent.value() / self.baseline.value()
    }

    /// Returns the processing time of `tokens` prompt tokens.
    pub(in crate::schedule) fn prefill_time(&self, tokens: u32) -> f64 {
        self.prefill.predict(f64::from(tokens)) * self.slowdown().max(1.0)
    }

    /// Returns the processing time of each additional prompt token.
    pub(in crate::schedule) fn prefill_token_time(&self) -> f64 {
        self.prefill.slope() * self.slowdown().max(1.0)
    }

    /// Records that one of `batch` concurrent requests generated `tokens` tokens in `seconds`.
    pub(in crate::schedule) fn observe_step(
        &mut self,
        tokens: u32,
        seconds: f64,
        batch: u32,
        update_baseline: bool,
    ) {
        let step_time = seconds / f64::from(tokens.max(1));
        let step_time = step_time.min(self.baseline.value() * MAX_SLOWDOWN);
        let weight = seconds / f64::from(batch.max(1));
        self.recent.observe(step_time, weight);
        if update_baseline {
            self.baseline.observe(step_time, weight);
        }
    }

    /// Records that `tokens` prompt tokens took `seconds`.
    pub(in crate::schedule) fn observe_prefill(&mut self, tokens: u32, seconds: f64) {
        self.prefill.observe(f64::from(tokens), seconds / self.slowdown().max(1.0));
    }

    /// Sets the baseline to the recent step time.
    pub(in crate::schedule) fn accept_recent(&mut self) {
        self.baseline.reset(self.recent.value());
    }

    /// Sets the recent step time to the baseline.
    pub(in crate::schedule) fn reset_recent(&mut self) {
        self.recent.reset(self.baseline.value());
    }
}
