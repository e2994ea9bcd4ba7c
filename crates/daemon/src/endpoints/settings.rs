//! Settings of the endpoint watchers.

use std::time;

/// Settings of the endpoint watchers, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The interval between the load calls to an endpoint; at least 1.
    pub load_interval_ms: u64,
    /// The interval between the calls for an engine's cache events; at least 1.
    pub cache_interval_ms: u64,
    /// How long an endpoint may leave calls unanswered before it stops getting new work.
    pub unreachable_after_ms: u64,
    /// The timeout of a call to an endpoint, and of opening a connection to it.
    pub answer_ms: u64,
}

impl Settings {
    pub(super) const fn load_interval(&self) -> time::Duration {
        time::Duration::from_millis(self.load_interval_ms)
    }

    pub(super) const fn cache_interval(&self) -> time::Duration {
        time::Duration::from_millis(self.cache_interval_ms)
    }

    pub(super) const fn unreachable_after(&self) -> time::Duration {
        time::Duration::from_millis(self.unreachable_after_ms)
    }

    pub(super) const fn answer(&self) -> time::Duration {
        time::Duration::from_millis(self.answer_ms)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_interval_ms: 1_000,
            cache_interval_ms: 2_000,
            unreachable_after_ms: 3_000,
            answer_ms: 1_000,
        }
    }
}
