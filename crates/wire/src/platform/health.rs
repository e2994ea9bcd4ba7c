//! The health of a service, derived from the results of calls.

use std::{sync, time};

/// When a service last answered, and since when calls to it have failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When the last answer arrived; a refusal by a rate limit counts as an answer.
    pub answered: Option<time::Instant>,
    /// The start of the earliest failed call since the last answer; `None` if no call has failed.
    pub failing: Option<time::Instant>,
}

/// A record of the results of calls. Clones share the record.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker(sync::Arc<sync::Mutex<Health>>);

impl HealthTracker {
    /// Returns the current health.
    pub fn health(&self) -> Health {
        *self.lock()
    }

    /// Records that a call was answered.
    pub fn record_answer(&self) {
        *self.lock() = Health { answered: Some(time::Instant::now()), failing: None };
    }

    /// Records that a call which started at `started` failed.
    ///
    /// The call is ignored if another one was answered after `started`.
    pub fn record_failure(&self, started: time::Instant) {
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
