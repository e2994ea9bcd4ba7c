//! A linear regression.

use crate::gateway;

/// A linear regression of one quantity on another, in which older observations decay.
///
/// It starts with an assumed line, which counts as [`PRIOR_COUNT`] observations.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinearRegression {
    sums: Sums,
}

/// The sums that determine the line. Observations have equal weights until they decay.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

/// The number of observations that the assumed line counts as; a few streams outweigh it.
const PRIOR_COUNT: f64 = 1.0;

/// The distance between the two points that represent the assumed line.
const PRIOR_SPREAD: f64 = 4.0;

/// The approximate number of observations that are kept: some seconds of a busy endpoint.
const WINDOW: f64 = 60.0;

impl LinearRegression {
    /// Creates a regression that starts with an assumed line.
    pub(super) const fn new(intercept: f64, slope: f64) -> Self {
        let y_end = intercept + slope * PRIOR_SPREAD;
        let half = PRIOR_COUNT / 2.0;
        let sums = Sums {
            count: PRIOR_COUNT,
            x: half * PRIOR_SPREAD,
            y: half * (intercept + y_end),
            xx: half * PRIOR_SPREAD * PRIOR_SPREAD,
            xy: half * PRIOR_SPREAD * y_end,
        };
        Self { sums }
    }

    /// Adds observations.
    pub(super) fn observe(&mut self, observations: &gateway::Firsts) {
        let count = f64::from(observations.count);
        let decay = (WINDOW / (self.sums.count + count)).min(1.0);
        let sums = &mut self.sums;
        sums.count = (sums.count + count) * decay;
        sums.x = (sums.x + f64::from(observations.x)) * decay;
        sums.y = (sums.y + f64::from(observations.y)) * decay;
        sums.xx = (sums.xx + f64::from(observations.xx)) * decay;
        sums.xy = (sums.xy + f64::from(observations.xy)) * decay;
    }

    /// Reduces the weight of all observations to that of the assumed line.
    pub(super) fn discount(&mut self) {
        let factor = (PRIOR_COUNT / self.sums.count).min(1.0);
        let sums = &mut self.sums;
        for sum in [&mut sums.count, &mut sums.x, &mut sums.y, &mut sums.xx, &mut sums.xy] {
            *sum *= factor;
        }
    }

    /// Returns the slope; never below zero.
    pub(super) fn slope(&self) -> f64 {
        let Sums { count, x, y, xx, xy } = self.sums;
        let denominator = count * xx - x * x;
        if denominator <= 0.0 { 0.0 } else { ((count * xy - x * y) / denominator).max(0.0) }
    }

    /// Returns the intercept; never below zero.
    pub(super) fn intercept(&self) -> f64 {
        let Sums { count, x, y, .. } = self.sums;
        ((y - self.slope() * x) / count).max(0.0)
    }
}
