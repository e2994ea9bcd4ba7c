//! The retry budget of one daemon.

use std::{collections, time};

use trefoildyke_types::time::Timestamp;

use crate::gateway;

/// Bounds how many sends beyond each request's first a daemon makes to one service.
///
/// The bound that all daemons share is a ratio of the requests plus a fixed number in any window.
/// The ratio holds for the sum if it holds for each daemon's own requests; the fixed number is
/// divided by the members, so no word between daemons is needed.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: time::Duration,
    ratio: f64,
    fixed: f64,
    requests: collections::VecDeque<Timestamp>,
    repeats: collections::VecDeque<Timestamp>,
}

/// The part of the shared bound that is used; the rest covers members that were not counted yet.
const USED_PART: f64 = 0.8;

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests in `window` plus `fixed` over all daemons.
    pub fn new(window: time::Duration, ratio: f64, fixed: f64) -> Self {
        let (requests, repeats) = Default::default();
        Self { window, ratio, fixed, requests, repeats }
    }

    /// Counts a request's first send.
    pub fn request(&mut self, now: Timestamp) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one repeat from the budget of one of `members` daemons; says whether there was one.
    pub fn take(&mut self, now: Timestamp, members: usize) -> bool {
        let usage = self.usage(now, members);
        let fits = usage.repeats < usage.limit;
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    /// Returns the repeats in the window and their limit for one of `members` daemons.
    pub fn usage(&mut self, now: Timestamp, members: usize) -> gateway::RetryUsage {
        self.forget(now);
        let fixed = self.fixed / members.max(1) as f64;
        let limit = USED_PART * (self.ratio * self.requests.len() as f64 + fixed);
        gateway::RetryUsage { repeats: self.repeats.len(), limit: limit as usize }
    }

    fn forget(&mut self, now: Timestamp) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|first| now.since(*first) > self.window) {
                times.pop_front();
            }
        }
    }
}
