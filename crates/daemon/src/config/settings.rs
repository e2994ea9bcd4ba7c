//! Settings of the configuration service.

use std::time;

/// The settings of the configuration service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The number of daemons that watch the key-value service; at least 1.
    pub watchers: usize,
    /// The maximum time that one watch call waits for a change, in milliseconds; at least 100.
    pub watch_ms: u64,
    /// The average delay after a failed read or watch of the key-value service, in milliseconds; at least 10.
    pub retry_ms: u64,
    /// The interval at which a daemon retries to read a version that a peer has announced, in milliseconds;
    /// at least 10.
    pub poll_ms: u64,
    /// The time after which a write fails, with an unsure outcome if it may still take effect, in
    /// milliseconds; at least 100.
    pub write_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { watchers: 3, watch_ms: 10_000, retry_ms: 500, poll_ms: 30_000, write_ms: 8_000 }
    }
}

impl Settings {
    pub(crate) const fn retry(&self) -> time::Duration {
        time::Duration::from_millis(self.retry_ms)
    }

    pub(crate) const fn poll(&self) -> time::Duration {
        time::Duration::from_millis(self.poll_ms)
    }

    pub(crate) const fn write(&self) -> time::Duration {
        time::Duration::from_millis(self.write_ms)
    }
}
