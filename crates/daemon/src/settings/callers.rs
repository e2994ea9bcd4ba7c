//! Limits of the callers' API.

use std::time;

use trefoildyke_wire::http;

/// The limits of the API through which callers send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Callers {
    /// The maximum number of open connections; from 1 to 1,000,000.
    pub connections: usize,
    /// The maximum number of concurrent streams in one HTTP/2 connection; from 1 to 100,000.
    pub streams: u32,
    /// The maximum size of the body of a request, in bytes; from 1,024 to 64 MiB.
    pub body_bytes: usize,
    /// The timeout for the arrival of a request's body, in milliseconds; from 1 to 600,000.
    pub body_ms: u64,
    /// The interval of comment lines in a stream without chunks, in milliseconds; from 1 to 1,000.
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

    /// Returns the timeout for the arrival of a request's body.
    pub const fn body_wait(&self) -> time::Duration {
        time::Duration::from_millis(self.body_ms)
    }

    /// Returns the interval of comment lines in a stream without chunks.
    pub const fn beat(&self) -> time::Duration {
        time::Duration::from_millis(self.beat_ms)
    }
}
