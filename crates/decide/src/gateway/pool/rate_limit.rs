//! The request rate limit of an endpoint.

use trefoildyke_types::time::Timestamp;

/// The latest rate limit reported by an endpoint, which applies to all daemons combined.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RateLimit {
    /// The limit in requests per second; `None` if the endpoint has set no limit or has withdrawn it.
    pub(super) per_s: Option<f64>,
    /// When the latest report was received; `None` if the endpoint has never set a limit.
    pub(super) received_at: Option<Timestamp>,
}

impl RateLimit {
    /// Records the limit received at `received_at` and returns whether it has changed.
    ///
    /// Reports older than the latest one are ignored, and so is `None` before the first limit.
    pub(super) fn note(&mut self, received_at: Timestamp, per_s: Option<f64>) -> bool {
        let is_outdated = self.received_at.is_some_and(|last| received_at < last);
        if is_outdated || (self.received_at.is_none() && per_s.is_none()) {
            return false;
        }
        self.received_at = Some(received_at);
        std::mem::replace(&mut self.per_s, per_s) != per_s
    }
}
