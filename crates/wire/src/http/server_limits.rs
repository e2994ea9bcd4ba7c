//! Limits of a server.

use std::time;

/// Limits what the connections of a [`crate::http::Server`] may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections at once; one more is closed as soon as it is accepted.
    pub connections: usize,
    /// Streams at once in one HTTP/2 connection.
    pub streams: u32,
    /// The headers of a request, in bytes together; at least 8192.
    pub header: usize,
    /// How long the headers of a request may take to arrive, an unused connection included.
    pub header_wait: time::Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            streams: 256,
            header: 16 << 10,
            header_wait: time::Duration::from_secs(60),
        }
    }
}
