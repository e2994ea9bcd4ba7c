//! The request rate limit of an endpoint.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway::{self, pool::token_bucket};

/// The latest rate limit reported by an endpoint, which applies to all daemons combined.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateLimit {
    /// The limit in requests per second; `None` if the endpoint has set no limit or has withdrawn it.
    per_s: Option<f64>,
    /// When the latest report was received; `None` if the endpoint has never set a limit.
    received_at: Option<Timestamp>,
    /// Whether this daemon received the latest report directly from the endpoint.
    is_own: bool,
    /// Whether a change received by this daemon has not yet been reported to the other daemons.
    has_unreported_change: bool,
    /// The requests that the limit allows; `None` if there is no limit.
    bucket: Option<token_bucket::TokenBucket>,
}

/// The minimum rate that an endpoint with a limit is allowed, in requests per second. An endpoint
/// can withdraw its limit only in the answer to a request.
const MIN_RATE: f64 = 0.25;

/// How long a received limit is repeated to the daemons that place requests, since several messages
/// in a row may be lost.
const REPEAT_DURATION: time::Duration = time::Duration::from_secs(5);

impl RateLimit {
    /// Records a limit received from the endpoint and returns whether it has changed.
    pub(super) fn note(&mut self, now: Timestamp, per_s: Option<f64>) -> bool {
        let has_changed = self.record(now, now, per_s);
        self.is_own = self.received_at == Some(now);
        self.has_unreported_change |= has_changed;
        has_changed
    }

    /// Records a limit reported by another daemon and returns whether it has changed.
    pub(super) fn learn(&mut self, now: Timestamp, report: &gateway::RateLimitReport) -> bool {
        let age = time::Duration::from_millis(u64::from(report.age_ms));
        let received_at =
            Timestamp::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64));
        if self.received_at.is_some_and(|last| received_at <= last) {
            return false;
        }
        self.is_own = false;
        self.has_unreported_change = false;
        self.record(now, received_at, report.per_s)
    }

    /// Records the limit received at `received_at` and returns whether it has changed.
    ///
    /// Reports older than the latest one are ignored, and so is `None` before the first limit.
    fn record(&mut self, now: Timestamp, received_at: Timestamp, per_s: Option<f64>) -> bool {
        let is_outdated = self.received_at.is_some_and(|last| received_at < last);
        if is_outdated || (self.received_at.is_none() && per_s.is_none()) {
            return false;
        }
        self.received_at = Some(received_at);
        let has_changed = std::mem::replace(&mut self.per_s, per_s) != per_s;
        if has_changed {
            self.update_bucket(now, per_s);
        }
        has_changed
    }

    fn update_bucket(&mut self, now: Timestamp, per_s: Option<f64>) {
        let Some(rate) = per_s.map(|per_s| per_s.max(MIN_RATE)) else {
            self.bucket = None;
            return;
        };
        let bucket = self.bucket.get_or_insert(token_bucket::TokenBucket::new(now, rate));
        bucket.set_rate(now, rate);
    }

    /// Counts a request sent to the endpoint.
    pub(super) fn count_request(&mut self, now: Timestamp) {
        if let Some(bucket) = &mut self.bucket {
            bucket.take(now);
        }
    }

    /// Returns how many requests may be sent now; `None` if there is no limit.
    pub(super) fn available(&self, now: Timestamp) -> Option<usize> {
        self.bucket.as_ref().map(|bucket| bucket.available(now))
    }

    /// Returns whether a change has yet to be reported to the other daemons, and marks it as reported.
    pub(super) const fn take_unreported_change(&mut self) -> bool {
        std::mem::replace(&mut self.has_unreported_change, false)
    }

    /// Returns the report for the other daemons, if this daemon has recently received the limit from
    /// the endpoint.
    pub(super) fn report(&self, now: Timestamp) -> Option<gateway::RateLimitReport> {
        let received_at = self.received_at.filter(|_| self.is_own)?;
        let age = now.since(received_at);
        let report = gateway::RateLimitReport { per_s: self.per_s, age_ms: age.as_millis() as u32 };
        (age < REPEAT_DURATION).then_some(report)
    }
}
