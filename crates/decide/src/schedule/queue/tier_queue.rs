//! The waiting requests of one tier.

use std::collections;

use trefoildyke_types::id;

use crate::schedule::queue::{account_queue, waiting};

/// The number of virtual time ticks for one token of work at weight 1.
const TICKS_PER_TOKEN: f64 = 256.0;

/// Idle accounts are removed once they outnumber the accounts with waiting requests by more than
/// this.
const MAX_IDLE_ACCOUNTS: usize = 256;

/// The waiting requests of one tier, shared among client accounts by start-time fair queueing.
///
/// The account with the lowest virtual time is served next; the work that it is served increases
/// its virtual time. An account that starts to wait begins no earlier than the virtual time of the
/// account that was served last.
#[derive(Clone, Debug, Default)]
pub(super) struct TierQueue {
    accounts: collections::HashMap<id::AccountName, account_queue::AccountQueue>,
    /// The accounts with waiting requests, by their virtual time.
    order: collections::BTreeSet<(u64, id::AccountName)>,
    /// The numbers of the waiting requests; newer requests have higher numbers.
    numbers: collections::BTreeSet<u64>,
    /// The highest virtual time at which an account was served.
    virtual_time: u64,
    /// The sum of the waiting requests' costs.
    work: f64,
    /// The sum of the waiting accounts' weights.
    weight: u64,
}

impl TierQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// Returns the number of the newest request.
    pub(super) fn newest(&self) -> Option<u64> {
        self.numbers.last().copied()
    }

    pub(super) fn work(&self) -> f64 {
        self.work
    }

    /// Returns the work that would be served before another request of `account` with cost `cost`.
    pub(super) fn work_ahead(&self, account: &id::AccountName, weight: u32, cost: f64) -> f64 {
        let own = self.accounts.get(account);
        let own_work = own.map_or(0.0, |queue| queue.work);
        let is_waiting = own.is_some_and(|queue| !queue.is_empty());
        let weight = f64::from(weight.max(1));
        let others = self.weight as f64 - if is_waiting { weight } else { 0.0 };
        let by_share = (own_work + cost) * (weight + others.max(0.0)) / weight - cost;
        by_share.min(self.work)
    }

    pub(super) fn insert(&mut self, number: u64, waiting: &waiting::Waiting, weight: u32) {
        let account = &waiting.ask.key.account;
        self.remove_idle();
        let queue = self.accounts.entry(account.clone()).or_default();
        if queue.is_empty() {
            queue.weight = weight.max(1);
            queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            self.weight += u64::from(queue.weight);
            self.order.insert((queue.virtual_time, account.clone()));
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
            self.order.remove(&(queue.virtual_time, account.clone()));
        }
        if self.numbers.is_empty() {
            self.work = 0.0;
        }
    }

    /// Adds work that an account was served to its virtual time, or subtracts it if `cost` is
    /// negative.
    pub(super) fn charge(&mut self, account: &id::AccountName, cost: f64, served: bool) {
        let Some(queue) = self.accounts.get_mut(account) else { return };
        let is_waiting = !queue.is_empty();
        if is_waiting {
            self.order.remove(&(queue.virtual_time, account.clone()));
        }
        if served {
            self.virtual_time = self.virtual_time.max(queue.virtual_time);
        }
        let ticks = (cost.abs() * TICKS_PER_TOKEN / f64::from(queue.weight.max(1))) as u64;
        queue.virtual_time = if cost < 0.0 {
            queue.virtual_time.saturating_sub(ticks)
        } else {
            queue.virtual_time.saturating_add(ticks)
        };
        if is_waiting {
            self.order.insert((queue.virtual_time, account.clone()));
        }
    }

    /// Appends the requests to serve next: the first `per_account` requests of each of the first
    /// `accounts` accounts.
    pub(super) fn candidates(
        &self,
        accounts: usize,
        per_account: usize,
        with_long: bool,
        found: &mut Vec<u64>,
    ) {
        for (_, account) in self.order.iter().take(accounts) {
            if let Some(queue) = self.accounts.get(account) {
                queue.first(per_account, with_long, found);
            }
        }
    }

    fn remove_idle(&mut self) {
        if self.accounts.len() > MAX_IDLE_ACCOUNTS + 2 * self.order.len() {
            let virtual_time = self.virtual_time;
            self.accounts.retain(|_, queue| !queue.is_empty() || queue.virtual_time > virtual_time);
        }
    }
}
