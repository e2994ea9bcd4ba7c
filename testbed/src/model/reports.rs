//! Load reports that are old when they are read.

use std::{collections, time};

use trefoildyke_types::{engine, time::Timestamp};

/// Remembers the load of the last while, as far back as the lag of reports needs.
#[derive(Clone, Debug)]
pub struct Reports {
    lag: time::Duration,
    /// In the order of time; the first is the newest that is at least `lag` old, or older ones
    /// are not known.
    history: collections::VecDeque<(Timestamp, engine::LoadReport)>,
}

impl Reports {
    /// Creates a memory of reports that are read `lag` late.
    pub fn new(lag: time::Duration) -> Self {
        Self { lag, history: collections::VecDeque::new() }
    }

    /// Records the load as it is now.
    pub fn record(&mut self, now: Timestamp, report: engine::LoadReport) {
        self.history.push_back((now, report));
        self.forget(now);
    }

    /// Returns the load as it was a lag ago.
    pub fn read(&self, now: Timestamp) -> engine::LoadReport {
        let known = self.history.iter().rev().find(|(at, _)| *at + self.lag <= now);
        let mut report = known.map(|(_, report)| *report).unwrap_or_default();
        report.as_of_ms = now.as_millis().saturating_sub(self.lag.as_millis() as u64);
        report
    }

    fn forget(&mut self, now: Timestamp) {
        while self.history.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.history.pop_front();
        }
    }
}
