//! Limits of an HTTP server.

use std::time;

/// Limits of the connections of a [`crate::http::Server`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// The maximum number of open connections; further ones are closed as soon as they are accepted.
    pub connections: usize,
    /// The maximum number of concurrent streams in one HTTP/2 connection.
    pub streams: u32,
    /// The maximum size of all headers of a request, in bytes; at least 8192.
    pub header: usize,
    /// The longest time until the headers of an HTTP/1 request have arrived; this also closes idle
    /// connections.
    pub header_timeout: time::Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            connections: 4096,
            streams: 256,
            header: 16 << 10,
            header_timeout: time::Duration::from_secs(60),
        }
    }
}
