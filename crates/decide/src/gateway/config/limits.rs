//! What a caller may send.

/// Bounds what a caller may send and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The largest head of a request, in bytes; 16 KiB.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes; 4 MiB.
    pub body_bytes: usize,
    /// How long the head of a request may take, in milliseconds; 3 s.
    pub header_ms: u64,
    /// How long a connection may be idle between two requests, in milliseconds; 15 s.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}
