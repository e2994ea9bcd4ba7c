//! The relaxed problem: one divisible supply, and demands that each have a window of time.

/// Holds how much supply every span of whole buckets has left.
///
/// Demands fit if and only if, for every span, the demands whose windows lie within it need no
/// more than the span supplies; so it is enough to keep what is left of each span.
#[derive(Clone, Debug)]
pub(super) struct Windows {
    buckets: usize,
    /// `left[from * buckets + to]` for the span from bucket `from` to bucket `to`, both included.
    left: Vec<f64>,
}

impl Windows {
    pub(super) fn new(supply: &[f64]) -> Self {
        let buckets = supply.len();
        let mut left = vec![0.0; buckets * buckets];
        for from in 0..buckets {
            let mut sum = 0.0;
            for to in from..buckets {
                sum += supply[to];
                left[from * buckets + to] = sum;
            }
        }
        Self { buckets, left }
    }

    /// Gives a demand with the window from bucket `first` to bucket `last` as much as it can get,
    /// at most `demand`, and returns that.
    pub(super) fn take(&mut self, first: usize, last: usize, demand: f64) -> f64 {
        let last = last.min(self.buckets - 1);
        let mut most = demand;
        for from in 0..=first {
            let row = &self.left[from * self.buckets + last..(from + 1) * self.buckets];
            most = row.iter().copied().fold(most, f64::min);
        }
        let given = most.max(0.0);
        for from in 0..=first {
            let row = &mut self.left[from * self.buckets + last..(from + 1) * self.buckets];
            row.iter_mut().for_each(|left| *left -= given);
        }
        given
    }
}
