//! Settings of the connections to peers.

use std::time;

/// Settings of the connections to peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long an unused connection stays open.
    pub keep: time::Duration,
    /// How long to wait after a failed attempt to connect before the next one.
    pub pause: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { keep: time::Duration::from_secs(30), pause: time::Duration::from_millis(500) }
    }
}
