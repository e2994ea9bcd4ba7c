//! Timeouts of the transfer of an answer of any length.

use std::time;

/// The timeouts of [`crate::http::Client::fetch`].
///
/// Neither bounds the whole transfer: a limit on its time would be a limit on the size of an answer that
/// a slow link can deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchTimeouts {
    /// How long the head of the answer may take.
    pub head: time::Duration,
    /// How long the next part of the body may take.
    pub pause: time::Duration,
}

impl FetchTimeouts {
    /// Returns the timeouts of an answer whose head and parts may each take `timeout`.
    pub const fn new(timeout: time::Duration) -> Self {
        Self { head: timeout, pause: timeout }
    }
}
