//! How connections are kept.

use std::time;

/// Holds how connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a connection that nobody uses stays open.
    pub keep: time::Duration,
    /// How long a peer that could not be reached is not tried again.
    pub pause: time::Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { keep: time::Duration::from_secs(30), pause: time::Duration::from_millis(500) }
    }
}
