//! Times that may lie before the start of this daemon.

use std::time;

use trefoildyke_types::time::Timestamp;

/// A time on this daemon's clock, in microseconds; negative before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment(i64);

impl Moment {
    /// Returns the time `ms` milliseconds before this one.
    pub(super) fn before(self, ms: u32) -> Self {
        Self(self.0.saturating_sub(i64::from(ms) * 1_000))
    }

    /// Returns the time `length` after this one.
    pub(super) fn after(self, length: time::Duration) -> Self {
        let micros = i64::try_from(length.as_micros()).unwrap_or(i64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Returns the time from this one to `later`, zero if it is not later.
    pub(super) fn until(self, later: Self) -> time::Duration {
        let micros = later.0.saturating_sub(self.0);
        time::Duration::from_micros(u64::try_from(micros).unwrap_or(0))
    }

    /// Returns the same time on the clock, or its start for an earlier time.
    pub(super) fn timestamp(self) -> Timestamp {
        Timestamp::from_micros(u64::try_from(self.0).unwrap_or(0))
    }
}

impl From<Timestamp> for Moment {
    fn from(timestamp: Timestamp) -> Self {
        Self(i64::try_from(timestamp.as_micros()).unwrap_or(i64::MAX))
    }
}

/// Returns a duration in milliseconds for a message.
pub(super) fn millis(length: time::Duration) -> u32 {
    u32::try_from(length.as_millis()).unwrap_or(u32::MAX)
}
