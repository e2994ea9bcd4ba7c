//! The daemon's monotonic clock and wall clock.

use std::time;

use trefoildyke_decide::coordinate;
use trefoildyke_types::time::Timestamp;

/// A reader of the wall clock and of a monotonic clock that starts at zero when the reader is created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time is zero now.
    pub fn start() -> Self {
        Self { origin: tokio::time::Instant::now() }
    }

    /// Returns the instant at which the monotonic time was zero.
    pub const fn origin(&self) -> tokio::time::Instant {
        self.origin
    }

    /// Returns the current monotonic time.
    pub fn monotonic(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Converts a monotonic time into an instant.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        self.origin + time::Duration::from_micros(at.as_micros())
    }

    /// Returns the current time of both clocks, the wall clock in milliseconds since the Unix epoch.
    pub fn now(&self) -> coordinate::Now {
        coordinate::Now { monotonic: self.monotonic(), unix_ms: unix_us() / 1_000 }
    }
}

/// Returns the wall clock in microseconds since the Unix epoch; 0 if the clock is set before the epoch.
pub fn unix_us() -> u64 {
    let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}
