//! Statistics of a quantity over recent observations.

/// A moving average in which older observations decay.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovingAverage {
    value: f64,
    weight: f64,
    window: f64,
}

impl MovingAverage {
    /// Creates an average that starts at `prior`, which counts as one observation. `window` is the
    /// approximate number of observations that are kept.
    pub(super) const fn new(prior: f64, window: f64) -> Self {
        Self { value: prior, weight: 1.0, window }
    }

    pub(super) const fn value(&self) -> f64 {
        self.value
    }

    /// Reduces the weight of all observations to that of one.
    pub(super) const fn discount(&mut self) {
        self.weight = self.weight.min(1.0);
    }

    pub(super) fn observe(&mut self, value: f64) {
        self.observe_many(value, 1);
    }

    /// Adds `count` observations whose mean is `value`.
    pub(super) fn observe_many(&mut self, value: f64, count: u16) {
        let count = f64::from(count);
        self.weight = (self.weight + count).min(self.window);
        self.value += (value - self.value) * (count / self.weight).min(1.0);
    }
}

/// An estimate of the lower quartile of a quantity.
#[derive(Clone, Copy, Debug)]
pub(super) struct LowerQuartile(pub(super) f64);

/// The scale of the relative change of the lower quartile by one observation.
const QUARTILE_STEP: f64 = 0.2;

impl LowerQuartile {
    pub(super) fn observe(&mut self, value: f64) {
        self.0 = if value < self.0 {
            value.max(self.0 * (1.0 - QUARTILE_STEP * 0.75))
        } else {
            value.min(self.0 * (1.0 + QUARTILE_STEP * 0.25))
        };
    }
}
