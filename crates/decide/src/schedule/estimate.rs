//! Statistical estimators that are updated with each observation.

/// Estimates a quantity by a weighted moving average.
///
/// Until the observations' weights fill the window, the value is the plain weighted mean of the
/// prior and all observations.
#[derive(Clone, Debug)]
pub(super) struct MovingAverage {
    value: f64,
    /// The total weight of the prior and the observations, at most `window`.
    total_weight: f64,
    window: f64,
}

impl MovingAverage {
    /// Creates an average of `prior`, which counts as one observation of weight `prior_weight`.
    pub(super) fn new(prior: f64, prior_weight: f64, window: f64) -> Self {
        Self { value: prior, total_weight: prior_weight, window }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    pub(super) fn observe(&mut self, value: f64, weight: f64) {
        self.total_weight += weight;
        self.value += (value - self.value) * (weight / self.total_weight).min(1.0);
        self.total_weight = self.total_weight.min(self.window);
    }

    /// Sets the average to `value`; the accumulated weight stays.
    pub(super) fn reset(&mut self, value: f64) {
        self.value = value;
    }
}

/// Fits a line to observed points by linear regression, with exponentially decaying weights.
#[derive(Clone, Debug, Default)]
pub(super) struct LinearRegression {
    sum_weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    /// Computed once for each new point, since it is read far more often.
    slope: f64,
    intercept: f64,
}

/// The factor by which each new point reduces the weights of the older ones.
const DECAY: f64 = 0.99;

/// The `x` of a point of weight 1.
const UNIT_X: f64 = 100.0;

impl LinearRegression {
    /// Creates a regression from a prior line, entered as two points: one at 0 and one at `x`.
    pub(super) fn new(intercept: f64, slope: f64, x: f64) -> Self {
        let mut regression = Self::default();
        regression.observe(0.0, intercept);
        regression.observe(x, intercept + slope * x);
        regression
    }

    /// Adds a point; its weight grows with `x`, since a larger `x` determines the slope better.
    pub(super) fn observe(&mut self, x: f64, y: f64) {
        let weight = (x / UNIT_X).clamp(0.25, 100.0);
        self.sum_weight = self.sum_weight * DECAY + weight;
        self.sum_x = self.sum_x * DECAY + weight * x;
        self.sum_y = self.sum_y * DECAY + weight * y;
        self.sum_xx = self.sum_xx * DECAY + weight * x * x;
        self.sum_xy = self.sum_xy * DECAY + weight * x * y;
        self.slope = self.fit_slope();
        self.intercept = ((self.sum_y - self.slope * self.sum_x) / self.sum_weight).max(0.0);
    }

    /// Returns the line's value at `x`. Neither the intercept nor the slope is negative.
    pub(super) fn predict(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    pub(super) fn slope(&self) -> f64 {
        self.slope
    }

    /// Returns the slope, at most the ratio of the means; or that ratio if the points do not
    /// determine a positive slope.
    fn fit_slope(&self) -> f64 {
        let determinant = self.sum_weight * self.sum_xx - self.sum_x * self.sum_x;
        let slope = (self.sum_weight * self.sum_xy - self.sum_x * self.sum_y)
            / determinant.max(f64::MIN_POSITIVE);
        let ratio = self.sum_y / self.sum_x.max(1.0);
        if slope.is_finite() && slope > 0.0 { slope.min(ratio) } else { ratio }
    }
}
