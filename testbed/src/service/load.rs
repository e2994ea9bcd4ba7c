//! The stand-in's load.

use std::time;

use trefoildyke_types::{engine, time::Timestamp};

use crate::model;

/// Counts the calls and remembers what it counted.
#[derive(Debug)]
pub(super) struct Load {
    current: engine::LoadReport,
    reports: model::Reports,
}

impl Load {
    pub(super) fn new(lag: time::Duration) -> Self {
        Self { current: engine::LoadReport::default(), reports: model::Reports::new(lag) }
    }

    pub(super) fn wait(&mut self) {
        self.current.waiting += 1;
        self.record();
    }

    pub(super) fn run(&mut self) {
        self.current.waiting -= 1;
        self.current.running += 1;
        self.record();
    }

    pub(super) fn end(&mut self) {
        self.current.running -= 1;
        self.record();
    }

    pub(super) fn read(&self) -> engine::LoadReport {
        self.reports.read(wall_clock())
    }

    fn record(&mut self) {
        self.reports.record(wall_clock(), self.current);
    }
}

fn wall_clock() -> Timestamp {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_micros(u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}
