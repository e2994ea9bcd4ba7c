//! The clock that decides when a lease ends.

use std::{sync, sync::atomic, time};

use trefoildyke_types::time::Timestamp;

/// A clock that counts from its creation and includes suspensions of the host. Clones show the same time.
///
/// The monotonic clock stops while the host is suspended, and the wall clock can be set back. So this
/// clock shows the longer of the two elapsed times, and never goes back. If the wall clock is set
/// forward, a lease is given up too early, which is safe.
#[derive(Clone, Debug)]
pub struct LeaseClock {
    monotonic: time::Instant,
    wall: time::SystemTime,
    latest_us: sync::Arc<atomic::AtomicU64>,
}

impl LeaseClock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self {
            monotonic: time::Instant::now(),
            wall: time::SystemTime::now(),
            latest_us: sync::Arc::new(atomic::AtomicU64::new(0)),
        }
    }

    /// Returns the time since the clock was created.
    pub fn now(&self) -> Timestamp {
        let wall = self.wall.elapsed().unwrap_or_default();
        let elapsed = self.monotonic.elapsed().max(wall).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let before = self.latest_us.fetch_max(elapsed, atomic::Ordering::AcqRel);
        Timestamp::from_micros(before.max(elapsed))
    }
}
