//! The waiting requests of one client account in one tier.

use std::collections;

use trefoildyke_types::time::Timestamp;

/// One account's waiting requests of one tier, ordered by deadline.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountQueue {
    /// The account's virtual time: the work that it was served, divided by its weight, in the
    /// tier's ticks.
    pub(super) virtual_time: u64,
    /// At least 1.
    pub(super) weight: u32,
    /// The sum of the waiting requests' costs.
    pub(super) work: f64,
    short: collections::BTreeSet<(Timestamp, u64)>,
    long: collections::BTreeSet<(Timestamp, u64)>,
}

impl AccountQueue {
    pub(super) fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    pub(super) fn insert(&mut self, deadline: Timestamp, number: u64, is_long: bool) {
        self.by_length(is_long).insert((deadline, number));
    }

    pub(super) fn remove(&mut self, deadline: Timestamp, number: u64, is_long: bool) {
        self.by_length(is_long).remove(&(deadline, number));
    }

    /// Appends the numbers of the first `count` requests by deadline to `found`.
    pub(super) fn first(&self, count: usize, with_long: bool, found: &mut Vec<u64>) {
        let mut short = self.short.iter().peekable();
        let mut long = self.long.iter().take(if with_long { count } else { 0 }).peekable();
        for _ in 0..count {
            let from_long = match (short.peek(), long.peek()) {
                (Some(short), Some(long)) => long < short,
                (None, Some(_)) => true,
                (_, None) => false,
            };
            let next = if from_long { long.next() } else { short.next() };
            let Some((_, number)) = next else { return };
            found.push(*number);
        }
    }

    fn by_length(&mut self, is_long: bool) -> &mut collections::BTreeSet<(Timestamp, u64)> {
        if is_long { &mut self.long } else { &mut self.short }
    }
}
