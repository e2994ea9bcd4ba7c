//! The two clocks of the daemon.

use std::time;

use trefoildyke_decide::coordinate;
use trefoildyke_types::time::Timestamp;

/// Reads the monotonic clock, counted from the daemon's start, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: tokio::time::Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time begins now.
    pub fn start() -> Self {
        Self { origin: tokio::time::Instant::now() }
    }

    /// Returns the instant at which the monotonic time began.
    pub const fn origin(&self) -> tokio::time::Instant {
        self.origin
    }

    /// Returns the monotonic time.
    pub fn mono(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Returns the instant of a monotonic time.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        self.origin + time::Duration::from_micros(at.as_micros())
    }

    /// Returns both clocks.
    pub fn now(&self) -> coordinate::Now {
        coordinate::Now { mono: self.mono(), unix_ms: unix_us() / 1_000 }
    }
}

/// Returns the wall clock in microseconds since the Unix epoch.
pub fn unix_us() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}
