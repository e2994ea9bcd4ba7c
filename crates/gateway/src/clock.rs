//! The clock of the gateway.

use std::time;

use rustix::time as system;
use trefoildyke_types::time::Timestamp;

/// A monotonic clock that also counts the time during which the host was suspended.
///
/// The age of cached state must keep growing while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Duration,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Self { origin: boot_time() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + boot_time().saturating_sub(self.origin)
    }
}

fn boot_time() -> time::Duration {
    let now = system::clock_gettime(system::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    time::Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0))
}
