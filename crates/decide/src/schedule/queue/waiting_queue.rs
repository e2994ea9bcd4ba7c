//! All waiting requests of a shard.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::queue::{tier_queue, waiting};

/// Holds the waiting requests of a shard, by tier.
///
/// A request that is refused for overload is taken out by `shed` or `shed_below` only, and both
/// empty the lower tiers first. This makes `TierOrder` hold by construction.
#[derive(Clone, Debug, Default)]
pub(in crate::schedule) struct Queue {
    entries: collections::HashMap<u64, waiting::Waiting>,
    numbers: collections::HashMap<id::RequestKey, u64>,
    /// By rank; the last is the lowest tier. May hold empty tiers, which keep their clocks.
    tiers: collections::BTreeMap<u8, tier_queue::TierQueue>,
    /// By the latest useful start.
    latest: collections::BTreeSet<(Timestamp, u64)>,
    /// Each account's requests by rank, then age.
    accounts: collections::HashMap<id::AccountName, collections::BTreeSet<(u8, u64)>>,
    next: u64,
}

impl Queue {
    pub(in crate::schedule) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(in crate::schedule) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(in crate::schedule) fn number(&self, key: &id::RequestKey) -> Option<u64> {
        self.numbers.get(key).copied()
    }

    pub(in crate::schedule) fn get(&self, number: u64) -> Option<&waiting::Waiting> {
        self.entries.get(&number)
    }

    pub(in crate::schedule) fn get_mut(&mut self, number: u64) -> Option<&mut waiting::Waiting> {
        self.entries.get_mut(&number)
    }

    /// Returns the rank of the highest tier in which a request waits.
    pub(in crate::schedule) fn top_rank(&self) -> Option<u8> {
        self.tiers.iter().find(|(_, tier)| !tier.is_empty()).map(|(rank, _)| *rank)
    }

    /// Returns the latest useful start that comes first.
    pub(in crate::schedule) fn first_latest(&self) -> Option<(Timestamp, u64)> {
        self.latest.first().copied()
    }

    /// Returns how many requests of `account` wait.
    pub(in crate::schedule) fn count_of(&self, account: &id::AccountName) -> usize {
        self.accounts.get(account).map_or(0, collections::BTreeSet::len)
    }

    /// Returns the newest request of the lowest tier in which `account` waits, with its rank.
    pub(in crate::schedule) fn lowest_of(&self, account: &id::AccountName) -> Option<(u8, u64)> {
        self.accounts.get(account)?.last().copied()
    }

    /// Returns the newest request of the lowest tier.
    pub(in crate::schedule) fn newest_of_lowest(&self) -> Option<u64> {
        self.tiers.values().rev().find_map(tier_queue::TierQueue::newest)
    }

    /// Returns the work that waits in tiers above `rank`.
    pub(in crate::schedule) fn work_above(&self, rank: u8) -> f64 {
        self.tiers.range(..rank).map(|(_, tier)| tier.work()).sum()
    }

    /// Returns the work that is served before a further request of this kind, within its tier.
    pub(in crate::schedule) fn work_ahead(
        &self,
        rank: u8,
        account: &id::AccountName,
        weight: u32,
        cost: f64,
    ) -> f64 {
        self.tiers.get(&rank).map_or(0.0, |tier| tier.work_ahead(account, weight, cost))
    }

    pub(in crate::schedule) fn push(&mut self, waiting: waiting::Waiting, weight: u32) -> u64 {
        let number = self.next;
        self.next += 1;
        let rank = waiting.ask.rank;
        self.tiers.entry(rank).or_default().insert(number, &waiting, weight);
        self.latest.insert((waiting.latest, number));
        let account = waiting.ask.key.account.clone();
        self.accounts.entry(account).or_default().insert((rank, number));
        self.numbers.insert(waiting.ask.key.clone(), number);
        self.entries.insert(number, waiting);
        number
    }

    /// Takes a request out that is granted or no longer wanted.
    pub(in crate::schedule) fn take(&mut self, number: u64) -> Option<waiting::Waiting> {
        let waiting = self.entries.remove(&number)?;
        let (rank, account) = (waiting.ask.rank, &waiting.ask.key.account);
        self.numbers.remove(&waiting.ask.key);
        self.latest.remove(&(waiting.latest, number));
        if let Some(tier) = self.tiers.get_mut(&rank) {
            tier.remove(number, &waiting);
        }
        if let Some(own) = self.accounts.get_mut(account) {
            own.remove(&(rank, number));
            if own.is_empty() {
                self.accounts.remove(account);
            }
        }
        Some(waiting)
    }

    /// Takes a request out that is refused, after all requests of lower tiers.
    pub(in crate::schedule) fn shed(&mut self, number: u64) -> Vec<waiting::Waiting> {
        let Some(rank) = self.get(number).map(|waiting| waiting.ask.rank) else {
            return Vec::new();
        };
        let mut shed = self.shed_below(rank);
        shed.extend(self.take(number));
        shed
    }

    /// Takes out all requests of tiers below `rank`, the lowest and newest first.
    pub(in crate::schedule) fn shed_below(&mut self, rank: u8) -> Vec<waiting::Waiting> {
        let mut shed = Vec::new();
        while let Some(lowest) = self.pop_lowest(rank) {
            shed.push(lowest);
        }
        shed
    }

    /// Moves the account's clock in the tier by work that it was served.
    pub(in crate::schedule) fn charge(
        &mut self,
        rank: u8,
        account: &id::AccountName,
        cost: f64,
        served: bool,
    ) {
        if let Some(tier) = self.tiers.get_mut(&rank) {
            tier.charge(account, cost, served);
        }
    }

    /// Appends the requests of the tier that are to be served next.
    pub(in crate::schedule) fn next(
        &self,
        rank: u8,
        accounts: usize,
        each: usize,
        with_long: bool,
        found: &mut Vec<u64>,
    ) {
        if let Some(tier) = self.tiers.get(&rank) {
            tier.next(accounts, each, with_long, found);
        }
    }

    fn pop_lowest(&mut self, above: u8) -> Option<waiting::Waiting> {
        let lowest = self.tiers.iter().rev().find(|(_, tier)| !tier.is_empty());
        let (_, tier) = lowest.filter(|(rank, _)| **rank > above)?;
        let number = tier.newest()?;
        self.take(number)
    }
}
