//! The retry budget of one daemon.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway;

/// Bounds how many sends beyond each request's first a daemon makes to one service.
///
/// The bound that all daemons share is a ratio of the requests plus a fixed number in any window.
/// The ratio holds for the sum if it holds for each daemon's own requests; the fixed number is
/// divided by the members, so daemons need not exchange messages. A restart loses the
/// counts, which are kept in memory, so a daemon has no share of the fixed number in the first
/// window after its start.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// The start of the daemon, which may be earlier than the creation of the budget.
    started: Timestamp,
    window: time::Duration,
    ratio: f64,
    fixed: f64,
    requests: collections::VecDeque<Timestamp>,
    /// The times at which repeats in the current window were sent.
    repeats: collections::VecDeque<Timestamp>,
    /// The number of repeats that were taken but neither sent nor given back.
    reserved: usize,
}

/// The part of the shared bound that is used; the rest covers members that were not counted yet.
const USED_PART: f64 = 0.8;

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in `window` plus `fixed` over all daemons, for a
    /// daemon that started at `started`.
    pub fn new(started: Timestamp, window: time::Duration, ratio: f64, fixed: f64) -> Self {
        let (requests, repeats) = Default::default();
        Self { started, window, ratio, fixed, requests, repeats, reserved: 0 }
    }

    /// Counts a request's first send.
    pub fn request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one repeat from the budget of a daemon that holds `share` of the fixed number.
    ///
    /// Returns whether a repeat was available. A taken repeat is reserved, and counts towards the
    /// limit, until [`Self::repeat_sent`] starts its window or [`Self::give_back`] releases it. The
    /// window starts at the send because a repeat may wait for a slot first.
    pub fn take(&mut self, now: Timestamp, share: f64) -> bool {
        let usage = self.usage(now, share);
        let fits = usage.repeats < usage.limit;
        self.reserved += usize::from(fits);
        fits
    }

    /// Records that a reserved repeat is sent at `now`.
    pub fn repeat_sent(&mut self, now: Timestamp) {
        self.reserved = self.reserved.saturating_sub(1);
        self.repeats.push_back(now);
    }

    /// Gives back a reserved repeat that will not be sent.
    pub const fn give_back(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Returns the repeats in the window and their limit, for a daemon that holds `share` of the
    /// fixed number.
    pub fn usage(&mut self, now: Timestamp, share: f64) -> gateway::RetryUsage {
        self.forget(now);
        let in_first_window = now.since(self.started) < self.window;
        let fixed = if in_first_window { 0.0 } else { self.fixed * share };
        let limit = USED_PART * (self.ratio * self.requests.len() as f64 + fixed);
        let repeats = self.repeats.len() + self.reserved;
        gateway::RetryUsage { repeats, limit: limit as usize }
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|first| now.since(*first) > self.window) {
                times.pop_front();
            }
        }
    }
}
