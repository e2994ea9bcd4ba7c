//! Ranges of lengths.

/// Describes lengths in tokens, drawn so that each doubling is equally likely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TokenRange {
    /// The shortest; at least 1.
    pub min: u32,
    /// The longest; at least `min`.
    pub max: u32,
}

impl TokenRange {
    /// Returns the length at `fraction` of the range, from 0 to 1.
    ///
    /// ```
    /// use testbed::experiment::scenario::TokenRange;
    ///
    /// let range = TokenRange { min: 10, max: 1_000 };
    /// assert_eq!(range.at(0.5), 100);
    /// ```
    pub fn at(&self, fraction: f64) -> u32 {
        let (low, high) = (f64::from(self.min).ln(), f64::from(self.max).ln());
        (low + (high - low) * fraction).exp().round() as u32
    }
}
