//! Timestamps for the decision code.

use std::{fmt, ops, time};

/// A point in time, in microseconds since an origin that the caller chooses.
///
/// Decision code receives timestamps and never reads a clock. A daemon takes them from its monotonic clock,
/// an experiment from virtual time. Timestamps of different hosts must not be compared.
///
/// ```
/// use std::time::Duration;
/// use trefoildyke_types::time::Timestamp;
///
/// let start = Timestamp::from_millis(5);
/// assert_eq!((start + Duration::from_millis(2)).since(start), Duration::from_millis(2));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(u64);

impl Timestamp {
    /// The origin.
    pub const ZERO: Self = Self(0);

    /// Creates a timestamp from microseconds since the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the whole milliseconds since the origin.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this timestamp.
    pub const fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<time::Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
