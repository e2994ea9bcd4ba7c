//! Limits of the operators' API.

use std::time;

/// The limits of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The maximum size of the body of one resource, in bytes; from 1,024 to 64 MiB.
    pub resource_bytes: usize,
    /// The maximum size of the body of a change of several resources, in bytes; from 1,024 to 64 MiB.
    pub change_bytes: usize,
    /// The maximum number of changes that are read or written at the same time; more are refused.
    pub changes: usize,
    /// The maximum number of watches that wait at the same time; more are refused.
    pub watches: usize,
    /// The maximum number of resources in a page; only the page of a watch can be longer, to hold all
    /// resources of its last version.
    pub page: usize,
    /// The maximum time that a watch waits, in milliseconds.
    pub watch_ms: u64,
    /// The timeout for the arrival of a body, in milliseconds.
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
