//! Percentiles of times.

/// Holds percentiles of a time, in milliseconds; 0 if nothing was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Percentiles {
    /// Half of the times are at most this.
    pub p50: f64,
    /// 95 in 100 times are at most this.
    pub p95: f64,
    /// 99 in 100 times are at most this.
    pub p99: f64,
}

impl Percentiles {
    /// Reads the percentiles off a histogram of microseconds.
    pub fn of(histogram: &hdrhistogram::Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}
