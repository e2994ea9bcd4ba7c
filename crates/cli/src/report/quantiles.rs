//! How a quantity is spread.

/// Holds quantiles of a quantity; all are zero if nothing was observed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Quantiles {
    /// How often it was observed.
    pub count: u64,
    /// One in ten is below.
    pub p10: u64,
    /// One in two is below.
    pub p50: u64,
    /// Nine in ten are below.
    pub p90: u64,
    /// 99 in a hundred are below.
    pub p99: u64,
}

/// How many digits of a value are kept.
const DIGITS: u8 = 3;

impl Quantiles {
    /// Returns the quantiles of some values.
    pub fn of(values: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut seen) = hdrhistogram::Histogram::<u64>::new(DIGITS) else {
            return Self::default();
        };
        for value in values {
            // It grows with what it is given; where it cannot, the value counts as its largest.
            if seen.record(value).is_err() {
                seen.saturating_record(value);
            }
        }
        let at = |part: f64| seen.value_at_quantile(part);
        Self { count: seen.len(), p10: at(0.1), p50: at(0.5), p90: at(0.9), p99: at(0.99) }
    }
}
