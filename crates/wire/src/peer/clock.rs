//! The logical clock that peers keep in step.

use std::sync::{Arc, atomic};

/// A Lamport clock; every message between daemons carries it. Clones share it.
///
/// What happens after a message was received has a higher time than what happened before it was
/// sent, whatever the hosts' own clocks say.
#[derive(Clone, Debug, Default)]
pub struct Clock(Arc<atomic::AtomicU64>);

impl Clock {
    /// Returns the time of the last event or message.
    pub fn now(&self) -> u64 {
        self.0.load(atomic::Ordering::Acquire)
    }

    /// Returns the time of a new event: later than all before, and not below `least`.
    pub fn tick(&self, least: u64) -> u64 {
        let next = |time: u64| time.saturating_add(1).max(least);
        self.0
            .fetch_update(atomic::Ordering::AcqRel, atomic::Ordering::Acquire, |t| Some(next(t)))
            .map_or(least, next)
    }

    /// Takes in the time that came with a message.
    pub fn merge(&self, time: u64) {
        self.0.fetch_max(time, atomic::Ordering::AcqRel);
    }
}
