//! Limits of the operators' face.

use std::time;

/// Holds the limits of the operators' face.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The largest body of one resource, in bytes.
    pub resource_bytes: usize,
    /// The largest body of a change of several resources, in bytes.
    pub change_bytes: usize,
    /// How many changes may be read or written at once; more are refused.
    pub changes: usize,
    /// How many watches may wait at once; more are refused.
    pub watches: usize,
    /// The most resources in one page.
    pub page: usize,
    /// The longest that a watch waits, in milliseconds.
    pub watch_ms: u64,
    /// How long a body may take to arrive, in milliseconds.
    pub body_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            resource_bytes: 64 << 10,
            change_bytes: 8 << 20,
            changes: 8,
            watches: 256,
            page: 1_000,
            watch_ms: 30_000,
            body_ms: 10_000,
        }
    }
}

impl Settings {
    pub(crate) const fn body_wait(&self) -> time::Duration {
        time::Duration::from_millis(self.body_ms)
    }
}
