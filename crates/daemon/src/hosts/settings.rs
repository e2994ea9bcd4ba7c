//! Settings of the host list service.

use std::time;

/// Holds the settings of the host list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long to wait between the end of one read and the start of the next, in milliseconds; at least 1.
    pub interval_ms: u64,
}

impl Settings {
    pub(super) const fn interval(&self) -> time::Duration {
        time::Duration::from_millis(self.interval_ms)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self { interval_ms: 500 }
    }
}
