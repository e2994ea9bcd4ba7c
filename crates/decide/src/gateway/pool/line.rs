//! A straight line through what was observed.

use crate::gateway;

/// Follows how a quantity grows with another one by a straight line, in which older observations fade.
///
/// It starts with a line that is assumed, which counts as [`PRIOR`] observations.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line {
    sums: Sums,
}

/// Holds what a line follows from. Later observations count the same as earlier ones until they fade.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    count: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

/// As how many observations the assumed line counts: a few streams outweigh it.
const PRIOR: f64 = 1.0;

/// How far from each other the two points lie that stand for the assumed line.
const SPREAD: f64 = 4.0;

/// About how many observations are remembered: some seconds of a busy endpoint.
const WINDOW: f64 = 60.0;

impl Line {
    /// Starts with an assumed line.
    pub(super) const fn new(base: f64, slope: f64) -> Self {
        let end = base + slope * SPREAD;
        let half = PRIOR / 2.0;
        let sums = Sums {
            count: PRIOR,
            x: half * SPREAD,
            y: half * (base + end),
            xx: half * SPREAD * SPREAD,
            xy: half * SPREAD * end,
        };
        Self { sums }
    }

    /// Takes in observations.
    pub(super) fn observe(&mut self, seen: &gateway::Firsts) {
        let count = f64::from(seen.count);
        let kept = (WINDOW / (self.sums.count + count)).min(1.0);
        let sums = &mut self.sums;
        sums.count = (sums.count + count) * kept;
        sums.x = (sums.x + f64::from(seen.x)) * kept;
        sums.y = (sums.y + f64::from(seen.y)) * kept;
        sums.xx = (sums.xx + f64::from(seen.xx)) * kept;
        sums.xy = (sums.xy + f64::from(seen.xy)) * kept;
    }

    /// Returns by how much the quantity grows with one unit of the other; never below zero.
    pub(super) fn slope(&self) -> f64 {
        let Sums { count, x, y, xx, xy } = self.sums;
        let spread = count * xx - x * x;
        if spread <= 0.0 { 0.0 } else { ((count * xy - x * y) / spread).max(0.0) }
    }

    /// Returns the quantity where the other one is zero; never below zero.
    pub(super) fn base(&self) -> f64 {
        let Sums { count, x, y, .. } = self.sums;
        ((y - self.slope() * x) / count).max(0.0)
    }
}
