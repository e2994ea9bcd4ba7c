//! The waiting requests of one tier.

use std::collections;

use trefoildyke_types::id;

use crate::schedule::queue::{account_queue, waiting};

/// How fine the virtual clock divides a token.
const TICKS: f64 = 256.0;

/// How many accounts without waiting requests are kept before they are swept.
const IDLE_ACCOUNTS: usize = 256;

/// Shares a tier among client accounts by start-time fair queueing.
///
/// The account with the lowest clock is served next; what it is served moves its clock on. One
/// that starts to wait begins no earlier than the account that was served last.
#[derive(Clone, Debug, Default)]
pub(super) struct TierQueue {
    accounts: collections::HashMap<id::AccountName, account_queue::AccountQueue>,
    /// The accounts with waiting requests by their clock.
    order: collections::BTreeSet<(u64, id::AccountName)>,
    /// The numbers of the waiting requests; higher is newer.
    numbers: collections::BTreeSet<u64>,
    /// The clock of the account that was served last.
    clock: u64,
    /// The sum of the waiting requests' costs.
    work: f64,
    /// The sum of the waiting accounts' weights.
    weight: u64,
}

impl TierQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// Returns the request that came last.
    pub(super) fn newest(&self) -> Option<u64> {
        self.numbers.last().copied()
    }

    pub(super) fn work(&self) -> f64 {
        self.work
    }

    /// Returns the work that is served before a further request of `account` that costs `cost`.
    pub(super) fn work_ahead(&self, account: &id::AccountName, weight: u32, cost: f64) -> f64 {
        let own = self.accounts.get(account);
        let own_work = own.map_or(0.0, |queue| queue.work);
        let waits = own.is_some_and(|queue| !queue.is_empty());
        let weight = f64::from(weight.max(1));
        let others = self.weight as f64 - if waits { weight } else { 0.0 };
        let by_share = (own_work + cost) * (weight + others.max(0.0)) / weight - cost;
        by_share.min(self.work)
    }

    pub(super) fn insert(&mut self, number: u64, waiting: &waiting::Waiting, weight: u32) {
        let account = &waiting.ask.key.account;
        self.sweep();
        let queue = self.accounts.entry(account.clone()).or_default();
        if queue.is_empty() {
            queue.weight = weight.max(1);
            queue.clock = queue.clock.max(self.clock);
            self.weight += u64::from(queue.weight);
            self.order.insert((queue.clock, account.clone()));
        }
        queue.insert(waiting.deadline, number, waiting.is_long);
        queue.work += waiting.cost;
        self.work += waiting.cost;
        self.numbers.insert(number);
    }

    pub(super) fn remove(&mut self, number: u64, waiting: &waiting::Waiting) {
        let account = &waiting.ask.key.account;
        let Some(queue) = self.accounts.get_mut(account) else { return };
        queue.remove(waiting.deadline, number, waiting.is_long);
        queue.work -= waiting.cost;
        self.work -= waiting.cost;
        self.numbers.remove(&number);
        if queue.is_empty() {
            queue.work = 0.0;
            self.weight -= u64::from(queue.weight);
            self.order.remove(&(queue.clock, account.clone()));
        }
        if self.numbers.is_empty() {
            self.work = 0.0;
        }
    }

    /// Moves an account's clock by work that it was served, or back if `cost` is negative.
    pub(super) fn charge(&mut self, account: &id::AccountName, cost: f64, served: bool) {
        let Some(queue) = self.accounts.get_mut(account) else { return };
        let waits = !queue.is_empty();
        if waits {
            self.order.remove(&(queue.clock, account.clone()));
        }
        if served {
            self.clock = self.clock.max(queue.clock);
        }
        let ticks = (cost.abs() * TICKS / f64::from(queue.weight.max(1))) as u64;
        queue.clock = if cost < 0.0 {
            queue.clock.saturating_sub(ticks)
        } else {
            queue.clock.saturating_add(ticks)
        };
        if waits {
            self.order.insert((queue.clock, account.clone()));
        }
    }

    /// Appends the requests to be served next: the first `each` of the first `accounts` accounts.
    pub(super) fn next(&self, accounts: usize, each: usize, with_long: bool, found: &mut Vec<u64>) {
        for (_, account) in self.order.iter().take(accounts) {
            if let Some(queue) = self.accounts.get(account) {
                queue.first(each, with_long, found);
            }
        }
    }

    fn sweep(&mut self) {
        if self.accounts.len() > IDLE_ACCOUNTS + 2 * self.order.len() {
            let clock = self.clock;
            self.accounts.retain(|_, queue| !queue.is_empty() || queue.clock > clock);
        }
    }
}
