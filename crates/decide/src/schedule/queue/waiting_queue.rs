//! All waiting requests of a shard.

use std::collections;

use trefoildyke_types::{id, time::Timestamp};

use crate::schedule::queue::{tier_queue, waiting};

/// The waiting requests of a shard, by tier.
///
/// A request that is refused for overload is removed by `shed` or `shed_below` only, and both empty
/// the lower tiers first. This guarantees `TierOrder`.
#[derive(Clone, Debug, Default)]
pub(in crate::schedule) struct Queue {
    entries: collections::HashMap<u64, waiting::Waiting>,
    by_key: collections::HashMap<id::RequestKey, u64>,
    /// The tiers by rank; the last is the lowest. Empty tiers may stay, which preserves their
    /// virtual times.
    tiers: collections::BTreeMap<u8, tier_queue::TierQueue>,
    /// The requests by their latest useful start.
    by_start: collections::BTreeSet<(Timestamp, u64)>,
    /// Each account's requests by rank, then by age.
    by_account: collections::HashMap<id::AccountName, collections::BTreeSet<(u8, u64)>>,
    next_number: u64,
}

impl Queue {
    pub(in crate::schedule) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(in crate::schedule) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(in crate::schedule) fn number(&self, key: &id::RequestKey) -> Option<u64> {
        self.by_key.get(key).copied()
    }

    pub(in crate::schedule) fn get(&self, number: u64) -> Option<&waiting::Waiting> {
        self.entries.get(&number)
    }

    /// Returns all waiting requests with their numbers.
    pub(in crate::schedule) fn iter(&self) -> impl Iterator<Item = (u64, &waiting::Waiting)> {
        self.entries.iter().map(|(number, waiting)| (*number, waiting))
    }

    pub(in crate::schedule) fn get_mut(&mut self, number: u64) -> Option<&mut waiting::Waiting> {
        self.entries.get_mut(&number)
    }

    /// Returns the rank of the highest tier with a waiting request.
    pub(in crate::schedule) fn top_rank(&self) -> Option<u8> {
        self.tiers.iter().find(|(_, tier)| !tier.is_empty()).map(|(rank, _)| *rank)
    }

    /// Returns the earliest of the latest useful starts, with its request.
    pub(in crate::schedule) fn first_latest_start(&self) -> Option<(Timestamp, u64)> {
        self.by_start.first().copied()
    }

    /// Returns the number of waiting requests of `account`.
    pub(in crate::schedule) fn count_of(&self, account: &id::AccountName) -> usize {
        self.by_account.get(account).map_or(0, collections::BTreeSet::len)
    }

    /// Returns the newest request of the lowest tier in which `account` waits, with its rank.
    pub(in crate::schedule) fn lowest_of(&self, account: &id::AccountName) -> Option<(u8, u64)> {
        self.by_account.get(account)?.last().copied()
    }

    /// Returns the newest request of the lowest tier.
    pub(in crate::schedule) fn newest_of_lowest(&self) -> Option<u64> {
        self.tiers.values().rev().find_map(tier_queue::TierQueue::newest)
    }

    /// Returns the waiting work of the tiers above `rank`.
    pub(in crate::schedule) fn work_above(&self, rank: u8) -> f64 {
        self.tiers.range(..rank).map(|(_, tier)| tier.work()).sum()
    }

    /// Returns the work of the tier that would be served before another request with these
    /// properties.
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
        let number = self.next_number;
        self.next_number += 1;
        let rank = waiting.ask.rank;
        self.tiers.entry(rank).or_default().insert(number, &waiting, weight);
        self.by_start.insert((waiting.latest_start, number));
        let account = waiting.ask.key.account.clone();
        self.by_account.entry(account).or_default().insert((rank, number));
        self.by_key.insert(waiting.ask.key.clone(), number);
        self.entries.insert(number, waiting);
        number
    }

    /// Removes and returns a request that is granted or no longer needed.
    pub(in crate::schedule) fn take(&mut self, number: u64) -> Option<waiting::Waiting> {
        let waiting = self.entries.remove(&number)?;
        let (rank, account) = (waiting.ask.rank, &waiting.ask.key.account);
        self.by_key.remove(&waiting.ask.key);
        self.by_start.remove(&(waiting.latest_start, number));
        if let Some(tier) = self.tiers.get_mut(&rank) {
            tier.remove(number, &waiting);
        }
        if let Some(keys) = self.by_account.get_mut(account) {
            keys.remove(&(rank, number));
            if keys.is_empty() {
                self.by_account.remove(account);
            }
        }
        Some(waiting)
    }

    /// Removes and returns a request that is refused, after all requests of lower tiers.
    pub(in crate::schedule) fn shed(&mut self, number: u64) -> Vec<waiting::Waiting> {
        let Some(rank) = self.get(number).map(|waiting| waiting.ask.rank) else {
            return Vec::new();
        };
        let mut shed = self.shed_below(rank);
        shed.extend(self.take(number));
        shed
    }

    /// Removes and returns all requests of tiers below `rank`, starting with the newest of the
    /// lowest.
    pub(in crate::schedule) fn shed_below(&mut self, rank: u8) -> Vec<waiting::Waiting> {
        let mut shed = Vec::new();
        while let Some(lowest) = self.pop_lowest(rank) {
            shed.push(lowest);
        }
        shed
    }

    /// Adds work that the account was served in the tier to its virtual time.
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
    pub(in crate::schedule) fn candidates(
        &self,
        rank: u8,
        accounts: usize,
        per_account: usize,
        with_long: bool,
        found: &mut Vec<u64>,
    ) {
        if let Some(tier) = self.tiers.get(&rank) {
            tier.candidates(accounts, per_account, with_long, found);
        }
    }

    fn pop_lowest(&mut self, above: u8) -> Option<waiting::Waiting> {
        let lowest = self.tiers.iter().rev().find(|(_, tier)| !tier.is_empty());
        let (_, tier) = lowest.filter(|(rank, _)| **rank > above)?;
        let number = tier.newest()?;
        self.take(number)
    }
}
