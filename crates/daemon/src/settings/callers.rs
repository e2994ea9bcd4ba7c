//! Limits of the callers' face.

use std::time;

use trefoildyke_wire::http;

/// Limits what callers may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// Connections at once; at least 1.
    pub connections: usize,
    /// Streams at once in one HTTP/2 connection; at least 1.
    pub streams: u32,
    /// The longest body of a request, in bytes; at least 1,024.
    pub body_bytes: usize,
    /// How long a request's body may take to arrive, in milliseconds; at least 1.
    pub body_ms: u64,
    /// How often a stream without chunks carries a comment line, in milliseconds; from 1 to 1,000.
    pub beat_ms: u64,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            connections: 4_096,
            streams: 256,
            body_bytes: 4 << 20,
            body_ms: 10_000,
            beat_ms: 500,
        }
    }
}

impl Callers {
    /// Returns the limits of the HTTP server.
    pub fn server(&self) -> http::ServerLimits {
        http::ServerLimits {
            connections: self.connections,
            streams: self.streams,
            ..Default::default()
        }
    }

    /// Returns how long a request's body may take to arrive.
    pub const fn body_wait(&self) -> time::Duration {
        time::Duration::from_millis(self.body_ms)
    }

    /// Returns how often a stream without chunks carries a comment line.
    pub const fn beat(&self) -> time::Duration {
        time::Duration::from_millis(self.beat_ms)
    }
}
