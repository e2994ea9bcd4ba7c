//! The clock that ends a lease.

use std::{sync, sync::atomic, time};

use trefoildyke_types::time::Timestamp;

/// Counts the time since the daemon started. Clones show the same.
///
/// The monotonic clock does not count while the whole host is suspended, and the wall clock can be
/// set back; this clock follows whichever ran further, and never goes back. If the wall clock is set
/// forward, a lease is given up too early, which does no harm.
#[derive(Clone, Debug)]
pub struct LeaseClock {
    monotonic: time::Instant,
    wall: time::SystemTime,
    latest_us: sync::Arc<atomic::AtomicU64>,
}

impl LeaseClock {
    /// Creates a clock that shows zero.
    pub fn start() -> Self {
        Self {
            monotonic: time::Instant::now(),
            wall: time::SystemTime::now(),
            latest_us: sync::Arc::new(atomic::AtomicU64::new(0)),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> Timestamp {
        let wall = self.wall.elapsed().unwrap_or_default();
        let elapsed = self.monotonic.elapsed().max(wall).as_micros();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
        let before = self.latest_us.fetch_max(elapsed, atomic::Ordering::AcqRel);
        Timestamp::from_micros(before.max(elapsed))
    }
}
