//! When a service last answered.

use std::{sync, time};

/// Says when a service last answered, and since when it has not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When the last answer came, a refusal by a rate limit included.
    pub answered: Option<time::Instant>,
    /// When the first call started that has failed after the last answer; `None` if none has.
    pub failing: Option<time::Instant>,
}

/// Records how calls end. Clones share the record.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker(sync::Arc<sync::Mutex<Health>>);

impl HealthTracker {
    /// Returns the record.
    pub fn health(&self) -> Health {
        *self.lock()
    }

    /// Records that a call was answered.
    pub fn answered(&self) {
        *self.lock() = Health { answered: Some(time::Instant::now()), failing: None };
    }

    /// Records that a call which started at `started` was not answered.
    pub fn failed(&self, started: time::Instant) {
        let mut health = self.lock();
        if health.answered.is_some_and(|answered| answered > started) {
            return;
        }
        health.failing = Some(health.failing.map_or(started, |failing| failing.min(started)));
    }

    fn lock(&self) -> sync::MutexGuard<'_, Health> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
