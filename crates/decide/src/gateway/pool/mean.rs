//! Quantities that are followed by what is observed.

/// Follows a quantity by a mean in which older observations fade.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mean {
    value: f64,
    seen: f64,
    window: f64,
}

impl Mean {
    /// Starts at `prior`, which counts as one observation, and remembers about `window`.
    pub(super) const fn new(prior: f64, window: f64) -> Self {
        Self { value: prior, seen: 1.0, window }
    }

    pub(super) const fn value(&self) -> f64 {
        self.value
    }

    pub(super) fn observe(&mut self, value: f64) {
        self.observe_many(value, 1);
    }

    /// Takes in `count` observations whose mean is `value`.
    pub(super) fn observe_many(&mut self, value: f64, count: u16) {
        let count = f64::from(count);
        self.seen = (self.seen + count).min(self.window);
        self.value += (value - self.value) * (count / self.seen).min(1.0);
    }
}

/// Follows the lower quarter of a quantity.
#[derive(Clone, Copy, Debug)]
pub(super) struct Low(pub(super) f64);

/// By what part a quantity's lower quarter moves with one observation.
const LOW_STEP: f64 = 0.2;

impl Low {
    pub(super) fn observe(&mut self, value: f64) {
        self.0 = if value < self.0 {
            value.max(self.0 * (1.0 - LOW_STEP * 0.75))
        } else {
            value.min(self.0 * (1.0 + LOW_STEP * 0.25))
        };
    }
}
