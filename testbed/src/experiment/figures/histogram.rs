//! Histograms of times.

/// The longest time that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Creates an empty histogram of times in microseconds, with three significant digits.
pub fn histogram() -> hdrhistogram::Histogram<u64> {
    let histogram = hdrhistogram::Histogram::new_with_bounds(1, LONGEST_US, 3);
    histogram.expect("the bounds are constant and valid")
}
