//! Settings of the stand-in.

use std::{net, time};

/// Settings of the key-value stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where to listen; port 0 takes a free one.
    pub listen: net::SocketAddr,
    /// Writes a second that are carried out, lease calls included.
    pub writes_per_s: u32,
    /// Reads a second that are carried out, watches included.
    pub reads_per_s: u32,
    /// How long each call takes.
    pub delay: time::Duration,
    /// Changes kept for watches.
    pub history: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_s: 500,
            reads_per_s: 2000,
            delay: time::Duration::from_millis(2),
            history: 10_000,
        }
    }
}
