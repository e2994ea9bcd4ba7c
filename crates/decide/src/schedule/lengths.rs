//! How long answers turn out against the limit that was asked for.

use std::collections;

use trefoildyke_types::id;

use crate::schedule::estimate;

/// How many accounts are told apart; others share one mean.
const MAX_ACCOUNTS: usize = 4_096;

/// Learns what part of their token limit the answers of an account and tier use.
#[derive(Clone, Debug)]
pub(super) struct Lengths {
    all: estimate::Mean,
    known: collections::HashMap<(id::AccountName, u8), estimate::Mean>,
}

impl Lengths {
    pub(super) fn new() -> Self {
        Self { all: estimate::Mean::new(0.75, 10.0, 1_000.0), known: collections::HashMap::new() }
    }

    /// Returns the expected length of an answer of at most `limit` tokens.
    pub(super) fn expect(&self, account: &id::AccountName, rank: u8, limit: u32) -> f64 {
        let own = self.known.get(&(account.clone(), rank));
        own.unwrap_or(&self.all).value() * f64::from(limit)
    }

    pub(super) fn observe(&mut self, account: &id::AccountName, rank: u8, limit: u32, tokens: u32) {
        if limit == 0 {
            return;
        }
        let part = (f64::from(tokens) / f64::from(limit)).min(1.0);
        self.all.observe(part, 1.0);
        let prior = estimate::Mean::new(self.all.value(), 10.0, 200.0);
        let place = (account.clone(), rank);
        if self.known.len() < MAX_ACCOUNTS || self.known.contains_key(&place) {
            self.known.entry(place).or_insert(prior).observe(part, 1.0);
        }
    }
}
