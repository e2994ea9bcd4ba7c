//! The logical clock that all daemons share through their messages.

use std::sync::{Arc, atomic};

/// A Lamport clock, whose time every message between daemons carries. Clones share the clock.
///
/// An event after the receipt of a message has a higher time than every event before the message was
/// sent, independent of the hosts' clocks.
#[derive(Clone, Debug, Default)]
pub struct Clock(Arc<atomic::AtomicU64>);

impl Clock {
    /// Returns the highest time of any event or received message.
    pub fn now(&self) -> u64 {
        self.0.load(atomic::Ordering::Acquire)
    }

    /// Advances the clock for a new event and returns its time.
    ///
    /// The time is higher than all earlier ones and at least `least`.
    pub fn tick(&self, least: u64) -> u64 {
        let next = |time: u64| time.saturating_add(1).max(least);
        self.0
            .fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, |t| Some(next(t)))
            .map_or(least, next)
    }

    /// Merges the time of a received message into the clock.
    pub fn merge(&self, time: u64) {
        self.0.fetch_max(time, atomic::Ordering::AcqRel);
    }
}
