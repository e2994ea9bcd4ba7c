//! The lengths of answers relative to the limits that the requests set.

use std::collections;

use trefoildyke_types::id;

use crate::schedule::estimate;

/// How many pairs of account and tier have their own average; all others share one.
const MAX_ENTRIES: usize = 4_096;

/// Learns which share of its token limit an answer uses, for each account and tier.
#[derive(Clone, Debug)]
pub(super) struct Lengths {
    overall: estimate::MovingAverage,
    by_account: collections::HashMap<(id::AccountName, u8), estimate::MovingAverage>,
}

impl Lengths {
    pub(super) fn new() -> Self {
        Self {
            overall: estimate::MovingAverage::new(0.75, 10.0, 1_000.0),
            by_account: collections::HashMap::new(),
        }
    }

    /// Returns the expected length of an answer of at most `limit` tokens, in tokens.
    pub(super) fn predict(&self, account: &id::AccountName, rank: u8, limit: u32) -> f64 {
        let own = self.by_account.get(&(account.clone(), rank));
        own.unwrap_or(&self.overall).value() * f64::from(limit)
    }

    pub(super) fn observe(&mut self, account: &id::AccountName, rank: u8, limit: u32, tokens: u32) {
        if limit == 0 {
            return;
        }
        let fraction = (f64::from(tokens) / f64::from(limit)).min(1.0);
        self.overall.observe(fraction, 1.0);
        let prior = estimate::MovingAverage::new(self.overall.value(), 10.0, 200.0);
        let key = (account.clone(), rank);
        if self.by_account.len() < MAX_ENTRIES || self.by_account.contains_key(&key) {
            self.by_account.entry(key).or_insert(prior).observe(fraction, 1.0);
        }
    }
}
