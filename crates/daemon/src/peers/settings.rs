//! Settings of the connections to peers.

use std::time;

/// Settings of the connections to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an unused connection stays open.
    pub idle_timeout: time::Duration,
    /// How long to wait after a failed attempt to connect before the next one.
    pub backoff: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            idle_timeout: time::Duration::from_secs(30),
            backoff: time::Duration::from_millis(500),
        }
    }
}
