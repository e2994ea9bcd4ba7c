//! The spread of a figure over seeds.

use std::fmt;

/// Holds the mean of a figure over seeds and its extremes.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spread {
    /// The arithmetic mean.
    pub mean: f64,
    /// The smallest value.
    pub min: f64,
    /// The largest value.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of `values`; not a number if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let values: Vec<_> = values.into_iter().collect();
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = f.precision().unwrap_or(3);
        let Self { mean, min, max } = self;
        write!(f, "{mean:.digits$} [{min:.digits$}, {max:.digits$}]")
    }
}
