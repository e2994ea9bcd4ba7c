//! Estimates that follow what is observed.

/// Follows a quantity by a mean over a window of time.
///
/// Until the window is full it is the plain mean of all observations and the prior.
#[derive(Clone, Debug)]
pub(super) struct Mean {
    value: f64,
    /// How much was observed, at most `window`.
    seen: f64,
    window: f64,
}

impl Mean {
    /// Starts with `prior`, which counts as much as an observation of weight `belief`.
    pub(super) fn new(prior: f64, belief: f64, window: f64) -> Self {
        Self { value: prior, seen: belief, window }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    pub(super) fn observe(&mut self, value: f64, weight: f64) {
        self.seen += weight;
        self.value += (value - self.value) * (weight / self.seen).min(1.0);
        self.seen = self.seen.min(self.window);
    }

    /// Forgets what was observed and continues at `value`.
    pub(super) fn reset(&mut self, value: f64) {
        self.value = value;
    }
}

/// Follows a line through observed points, the latest weighing most.
#[derive(Clone, Debug, Default)]
pub(super) struct Line {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    /// Worked out once for each new point, since it is read far more often.
    slope: f64,
    intercept: f64,
}

/// What an older point keeps of its weight at each new one.
const KEEP: f64 = 0.99;

/// The `x` of a point that weighs 1.
const UNIT: f64 = 100.0;

impl Line {
    /// Starts at the line with this intercept and slope, believed at `x` as at one point.
    pub(super) fn new(intercept: f64, slope: f64, x: f64) -> Self {
        let mut line = Self::default();
        line.observe(0.0, intercept);
        line.observe(x, intercept + slope * x);
        line
    }

    /// Takes in a point; one with a larger `x` weighs more, since it tells more of the slope.
    pub(super) fn observe(&mut self, x: f64, y: f64) {
        let weight = (x / UNIT).clamp(0.25, 100.0);
        self.weight = self.weight * KEEP + weight;
        self.x = self.x * KEEP + weight * x;
        self.y = self.y * KEEP + weight * y;
        self.xx = self.xx * KEEP + weight * x * x;
        self.xy = self.xy * KEEP + weight * x * y;
        self.slope = self.fit();
        self.intercept = ((self.y - self.slope * self.x) / self.weight).max(0.0);
    }

    /// Returns the line's value; intercept and slope count as 0 where they are negative.
    pub(super) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    pub(super) fn slope(&self) -> f64 {
        self.slope
    }

    /// Returns the slope, or the mean ratio if the points do not tell a slope.
    fn fit(&self) -> f64 {
        let spread = self.weight * self.xx - self.x * self.x;
        let slope = (self.weight * self.xy - self.x * self.y) / spread.max(f64::MIN_POSITIVE);
        let ratio = self.y / self.x.max(1.0);
        if slope.is_finite() && slope > 0.0 { slope.min(ratio) } else { ratio }
    }
}
