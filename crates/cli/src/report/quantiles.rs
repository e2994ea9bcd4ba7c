//! Quantiles of a distribution.

/// Quantiles of observed values; all are zero if there are no values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Quantiles {
    /// The number of observed values.
    pub count: u64,
    /// The 10th percentile.
    pub p10: u64,
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// The number of significant digits kept of a value.
const SIGNIFICANT_DIGITS: u8 = 3;

impl Quantiles {
    /// Returns the quantiles of some values.
    pub fn of(values: impl IntoIterator<Item = u64>) -> Self {
        let Ok(mut histogram) = hdrhistogram::Histogram::<u64>::new(SIGNIFICANT_DIGITS) else {
            return Self::default();
        };
        for value in values {
            // The histogram resizes itself; if it cannot, the value counts as the largest trackable one.
            if histogram.record(value).is_err() {
                histogram.saturating_record(value);
            }
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile);
        Self { count: histogram.len(), p10: at(0.1), p50: at(0.5), p90: at(0.9), p99: at(0.99) }
    }
}
