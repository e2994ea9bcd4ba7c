//! The retry budget of one daemon.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway;

/// Limits the number of retries, that is, sends after the first send of each request, from one
/// daemon to one service.
///
/// The limit shared by all daemons is a ratio of the requests plus a fixed number in any window. If
/// each daemon applies the ratio to its own requests, the ratio holds for the sum. The fixed number
/// is divided among the members, so daemons need not exchange messages. The counts are kept in
/// memory and lost in a restart, so a daemon has no share of the fixed number in the first window
/// after its start.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The start of the daemon, which may be earlier than the creation of the budget.
    started: Timestamp,
    window: time::Duration,
    ratio: f64,
    fixed: f64,
    requests: collections::VecDeque<Timestamp>,
    /// The send times of the retries in the current window.
    retries: collections::VecDeque<Timestamp>,
    /// The number of retries that were taken but neither sent nor given back.
    reserved: usize,
}

/// The fraction of the shared limit that is used; the rest covers members that were not counted
/// yet.
const USED_FRACTION: f64 = 0.8;

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in `window` plus `fixed` over all daemons, for a
    /// daemon that started at `started`.
    pub fn new(started: Timestamp, window: time::Duration, ratio: f64, fixed: f64) -> Self {
        let (requests, retries) = Default::default();
        Self { started, window, ratio, fixed, requests, retries, reserved: 0 }
    }

    /// Counts the first send of a request.
    pub fn request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one retry from the budget of a daemon that holds `share` of the fixed number.
    ///
    /// Returns whether a retry was available. A taken retry is reserved, and counts towards the
    /// limit, until [`Self::retry_sent`] starts its window or [`Self::give_back`] releases it. The
    /// window starts at the send because a retry may have to wait for a free slot first.
    pub fn take(&mut self, now: Timestamp, share: f64) -> bool {
        let usage = self.usage(now, share);
        let fits = usage.retries < usage.limit;
        self.reserved += usize::from(fits);
        fits
    }

    /// Records that a reserved retry is sent at `now`.
    pub fn retry_sent(&mut self, now: Timestamp) {
        self.reserved = self.reserved.saturating_sub(1);
        self.retries.push_back(now);
    }

    /// Gives back a reserved retry that will not be sent.
    pub const fn give_back(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns the retries in the window and their limit, for a daemon that holds `share` of the
    /// fixed number.
    pub fn usage(&mut self, now: Timestamp, share: f64) -> gateway::RetryUsage {
        self.expire(now);
        let in_first_window = now.since(self.started) < self.window;
        let fixed = if in_first_window { 0.0 } else { self.fixed * share };
        let limit = USED_FRACTION * (self.ratio * self.requests.len() as f64 + fixed);
        let retries = self.retries.len() + self.reserved;
        gateway::RetryUsage { retries, limit: limit as usize }
    }

    fn expire(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|first| now.since(*first) > self.window) {
                times.pop_front();
            }
        }
    }
}
