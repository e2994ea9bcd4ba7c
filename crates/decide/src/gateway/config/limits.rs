//! Limits on the requests of callers.

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The maximum size of the head of a request, in bytes; 16 KiB.
    pub header_bytes: usize,
    /// The maximum size of the body of a request, in bytes; 4 MiB.
    pub body_bytes: usize,
    /// The maximum time for receiving the head of a request, in milliseconds; 3 s.
    pub header_ms: u64,
    /// The maximum time for which a connection may be idle between two requests, in milliseconds;
    /// 15 s.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}
