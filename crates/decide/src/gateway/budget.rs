//! The retry budget of one daemon.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway;

/// Limits the number of retries, that is, sends after the first send of each request, from one
/// daemon to one service.
///
/// The limit shared by all daemons is a ratio of the requests plus a fixed number in any window. The
/// requests are those of the window or of the one before it, whichever has more. Daemons exchange no
/// messages about it, so the limits of all daemons have to add up to the shared one, however requests
/// move between daemons and whichever daemons restart:
///
/// - In any window, a daemon's retries are limited by the mean of its requests in the window and in the
///   one before it. The sum of the means of all daemons is at most the larger sum. A limit by the
///   requests of the last window alone would let two daemons use the same part of the shared limit one
///   after the other.
/// - The requests before the start of a daemon do not count, as the process before it may have used
///   them. In the first window after its start, half of the requests count.
/// - The fixed number is divided among the members. A daemon has no share of it in the first window
///   after its start.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The start of the daemon, which may be earlier than the creation of the budget.
    started: Timestamp,
    window: time::Duration,
    ratio: f64,
    fixed: f64,
    /// The times of the requests in the current window.
    requests: collections::VecDeque<Timestamp>,
    /// The number of all requests.
    request_count: usize,
    /// The retries that were sent in the current window.
    retries: collections::VecDeque<SentRetry>,
    /// The number of retries that were taken but neither sent nor given back.
    reserved: usize,
}

/// A retry that was sent.
#[derive(Clone, Copy, Debug)]
struct SentRetry {
    at: Timestamp,
    /// The number of requests until one window before the retry.
    requests_before: usize,
}

/// The fraction of the shared limit that is used; the rest covers members that were not counted
/// yet.
const USED_FRACTION: f64 = 0.8;

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in `window` plus `fixed` over all daemons, for a
    /// daemon that started at `started`.
    pub fn new(started: Timestamp, window: time::Duration, ratio: f64, fixed: f64) -> Self {
        Self {
            started,
            window,
            ratio,
            fixed,
            requests: collections::VecDeque::new(),
            request_count: 0,
            retries: collections::VecDeque::new(),
            reserved: 0,
        }
    }

    /// Counts the first send of a request.
    pub fn request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.request_count += 1;
        self.expire(now);
    }

    /// Takes one retry from the budget of a daemon that holds `share` of the fixed number.
    ///
    /// Returns whether a retry was available. A taken retry is reserved, and counts towards the
    /// limit, until [`Self::send`] starts its window or [`Self::give_back`] releases it. The
    /// window starts at the send because a retry may have to wait for a free slot first.
    pub fn take(&mut self, now: Timestamp, share: f64) -> bool {
        let usage = self.usage(now, share);
        let fits = usage.retries < usage.limit;
        self.reserved += usize::from(fits);
        fits
    }

    /// Sends a reserved retry at `now`, unless the limit has fallen since it was taken, as it does
    /// when requests move to other daemons. Returns whether it may be sent; if not, it is given back.
    pub fn send(&mut self, now: Timestamp, share: f64) -> bool {
        self.give_back();
        self.expire(now);
        let is_available = self.tightest(now, share, 0).available() > 0;
        if is_available {
            let requests_before = self.request_count - self.requests.len();
            self.retries.push_back(SentRetry { at: now, requests_before });
        }
        is_available
    }

    /// Gives back a reserved retry that will not be sent.
    pub const fn give_back(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns the retries and their limit in the window that allows the fewest more, for a daemon
    /// that holds `share` of the fixed number.
    pub fn usage(&mut self, now: Timestamp, share: f64) -> gateway::RetryUsage {
        self.expire(now);
        self.tightest(now, share, self.reserved)
    }

    /// Returns the usage of the window that allows the fewest more retries, if `reserved` are still to
    /// be sent.
    ///
    /// The limit holds in every window, so it is checked in those that start now or with one of the
    /// retries that were sent.
    fn tightest(&self, now: Timestamp, share: f64, reserved: usize) -> gateway::RetryUsage {
        let usage = |sent: usize, requests_before: usize, fixed: f64| {
            let requests = (self.request_count - requests_before) as f64 / 2.0;
            let limit = USED_FRACTION * (self.ratio * requests + fixed);
            gateway::RetryUsage { retries: sent + reserved, limit: limit as usize }
        };
        let (sent, fixed) = (self.retries.len(), self.fixed * share);
        let from_retries = self.retries.iter().enumerate();
        let from_retries =
            from_retries.map(|(index, first)| usage(sent - index, first.requests_before, fixed));
        let from_now = usage(0, self.request_count - self.requests.len(), fixed);
        let in_first_window = now.since(self.started) < self.window;
        let from_start = in_first_window.then(|| usage(sent, 0, 0.0));
        let usages = from_retries.chain([from_now]).chain(from_start);
        usages.min_by_key(gateway::RetryUsage::available).unwrap_or_default()
    }

    fn expire(&mut self, now: Timestamp) {
        let is_over = |at: Timestamp| now.since(at) > self.window;
        while self.requests.front().is_some_and(|at| is_over(*at)) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|first| is_over(first.at)) {
            self.retries.pop_front();
        }
    }
}
