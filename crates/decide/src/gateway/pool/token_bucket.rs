//! A token bucket.

use trefoildyke_types::time::Timestamp;

/// Limits requests to a constant rate; each request takes one token.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// The refill rate in tokens per second.
    rate: f64,
    /// The number of tokens at `refilled`, within `-SIZE..=SIZE`; negative if tokens are owed.
    level: f64,
    /// When `level` was last updated.
    refilled: Timestamp,
}

/// The maximum number of tokens in the bucket, and the maximum number owed.
const SIZE: f64 = 2.0;

impl TokenBucket {
    /// Creates an empty bucket.
    pub(super) const fn new(now: Timestamp, rate: f64) -> Self {
        Self { rate, level: 0.0, refilled: now }
    }

    /// Sets the refill rate from `now` on.
    pub(super) fn set_rate(&mut self, now: Timestamp, rate: f64) {
        self.level = self.level(now);
        self.refilled = now;
        self.rate = rate;
    }

    /// Returns the number of whole tokens available.
    pub(super) fn available(&self, now: Timestamp) -> usize {
        self.level(now).max(0.0) as usize
    }

    /// Takes a token; if none is available, the token is owed.
    pub(super) fn take(&mut self, now: Timestamp) {
        self.level = (self.level(now) - 1.0).max(-SIZE);
        self.refilled = now;
    }

    fn level(&self, now: Timestamp) -> f64 {
        let refill = self.rate * now.since(self.refilled).as_secs_f64();
        (self.level + refill).min(SIZE)
    }
}
