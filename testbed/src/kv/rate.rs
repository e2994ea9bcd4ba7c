//! A token bucket.

use std::time;

/// How much of a second's calls may come at once.
const BURST: f64 = 0.2;

/// Limits calls to a rate.
#[derive(Debug)]
pub(crate) struct Rate {
    per_s: f64,
    /// Calls that may come now; at most the burst, but at least one.
    tokens: f64,
    since: time::Instant,
}

impl Rate {
    pub(crate) fn new(per_s: u32, now: time::Instant) -> Self {
        let per_s = f64::from(per_s);
        Self { per_s, tokens: (per_s * BURST).max(1.0), since: now }
    }

    /// Takes one call, or returns how long to wait for the next.
    pub(crate) fn take(&mut self, now: time::Instant) -> Result<(), time::Duration> {
        let gained = now.saturating_duration_since(self.since).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min((self.per_s * BURST).max(1.0));
        self.since = now;
        if self.tokens < 1.0 {
            return Err(time::Duration::from_secs_f64((1.0 - self.tokens) / self.per_s));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
