//! Settings of the schedule service.

use std::time;

use trefoildyke_decide::schedule;

/// Settings of the schedule service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long reports are collected before they are sent, in milliseconds; at least 1.
    pub batch_ms: u64,
    /// How often the progress of each request is reported, in milliseconds; at least `batch_ms`.
    pub progress_ms: u64,
    /// How long to wait before asking again after a scheduler was lost, in milliseconds; at least 1.
    pub retry_ms: u64,
    /// The timeout of a call that sends reports, in milliseconds.
    pub report_ms: u64,
    /// How long the actor of a shard that moved to another daemon stays without work before it ends, in
    /// milliseconds.
    pub idle_ms: u64,
    /// Parameters of the scheduling policy.
    pub policy: schedule::Params,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            batch_ms: 5,
            progress_ms: 200,
            retry_ms: 20,
            report_ms: 1_000,
            idle_ms: 10_000,
            policy: schedule::Params::default(),
        }
    }
}

impl Settings {
    pub(super) const fn batch(&self) -> time::Duration {
        time::Duration::from_millis(self.batch_ms)
    }

    pub(super) const fn progress(&self) -> time::Duration {
        time::Duration::from_millis(self.progress_ms)
    }

    pub(super) const fn retry(&self) -> time::Duration {
        time::Duration::from_millis(self.retry_ms)
    }

    pub(super) const fn report(&self) -> time::Duration {
        time::Duration::from_millis(self.report_ms)
    }

    pub(super) const fn idle(&self) -> time::Duration {
        time::Duration::from_millis(self.idle_ms)
    }
}
