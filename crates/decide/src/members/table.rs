//! The table of all members that a daemon knows, with hashes for comparing tables.

use std::{collections, net};

use trefoildyke_types::{id, time};

use crate::members::{self, entry::Entry};

/// The number of parts into which a table is divided for comparison.
pub(crate) const PARTS: usize = 64;

/// The members in the order of their incarnations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    entries: collections::BTreeMap<id::Incarnation, Entry>,
    /// The latest incarnation at each address.
    by_address: collections::HashMap<net::SocketAddr, id::Incarnation>,
    /// The exclusive or of the entries' hashes, for each part.
    parts: Vec<u64>,
    /// The exclusive or of the member hashes.
    members: u64,
    count: usize,
}

impl Table {
    pub(crate) fn new() -> Self {
        Self { parts: vec![0; PARTS], ..Self::default() }
    }

    pub(crate) fn get(&self, incarnation: id::Incarnation) -> Option<&Entry> {
        self.entries.get(&incarnation)
    }

    /// Returns an entry whose location, sequence and state the caller must not change, since the
    /// hashes, the count and `by_address` depend on them.
    pub(crate) fn get_mut(&mut self, incarnation: id::Incarnation) -> Option<&mut Entry> {
        self.entries.get_mut(&incarnation)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (id::Incarnation, &Entry)> {
        self.entries.iter().map(|(incarnation, entry)| (*incarnation, entry))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (id::Incarnation, &mut Entry)> {
        self.entries.iter_mut().map(|(incarnation, entry)| (*incarnation, entry))
    }

    /// Returns how many members are not dead.
    pub(crate) const fn count(&self) -> usize {
        self.count
    }

    /// Returns the hash of the set of members that are not dead.
    pub(crate) const fn members_hash(&self) -> u64 {
        self.members
    }

    /// Returns the hash of the whole table.
    pub(crate) fn hash(&self) -> u64 {
        self.parts.iter().enumerate().fold(0, |hash, (index, part)| {
            let rotation = u32::try_from(index).unwrap_or(0);
            hash ^ part.rotate_left(rotation)
        })
    }

    /// Returns the shortened hashes of the parts.
    pub(crate) fn parts(&self) -> Vec<u32> {
        self.parts.iter().map(|part| shorten(*part)).collect()
    }

    /// Returns at most `limit` members of the parts whose hashes differ from `parts`.
    ///
    /// Starts with part `start`, so that repeated calls with different values cover all parts.
    pub(crate) fn differing(
        &self,
        parts: &[u32],
        start: usize,
        limit: usize,
    ) -> Vec<members::Update> {
        let own = self.parts();
        let differs = |part: usize| parts.get(part) != own.get(part);
        let mut entries: Vec<_> =
            self.iter().filter(|(incarnation, _)| differs(part_of(*incarnation))).collect();
        entries.sort_by_key(|(incarnation, _)| {
            (part_of(*incarnation) + PARTS - start % PARTS) % PARTS
        });
        entries
            .iter()
            .take(limit)
            .map(|(incarnation, entry)| entry.update(*incarnation, entry.state.is_member()))
            .collect()
    }

    /// Applies an update and returns whether it was news.
    pub(crate) fn apply(&mut self, update: &members::Update, now: time::Timestamp) -> bool {
        let Some(entry) = self.entries.get(&update.incarnation) else {
            return self.insert(update, now);
        };
        if update.precedence() <= entry.precedence() {
            return false;
        }
        self.change(update.incarnation, |entry| {
            entry.sequence = update.sequence;
            entry.state = update.state;
            entry.since = now;
        });
        true
    }

    fn insert(&mut self, update: &members::Update, now: time::Timestamp) -> bool {
        let Some(location) = &update.place else { return false };
        if update.state == members::State::Dead {
            return false;
        }
        let newest = *self.by_address.entry(location.peer).or_insert(update.incarnation);
        if newest > update.incarnation {
            return false;
        }
        let entry = Entry::new(location.clone(), update.sequence, update.state, now);
        self.by_address.insert(location.peer, update.incarnation);
        self.entries.insert(update.incarnation, entry);
        self.toggle(update.incarnation);
        if newest != update.incarnation {
            self.supersede(newest, now);
        }
        true
    }

    /// Marks an incarnation dead because a later one uses its address.
    fn supersede(&mut self, incarnation: id::Incarnation, now: time::Timestamp) {
        self.change(incarnation, |entry| {
            entry.state = members::State::Dead;
            entry.since = now;
        });
    }

    /// Removes the entries that `forget` selects, and returns whether there were any.
    pub(crate) fn remove_where(&mut self, forget: impl Fn(&Entry) -> bool) -> bool {
        let removed: Vec<_> = self
            .iter()
            .filter(|(_, entry)| forget(entry))
            .map(|(incarnation, _)| incarnation)
            .collect();
        for incarnation in &removed {
            self.toggle(*incarnation);
            if let Some(entry) = self.entries.remove(incarnation)
                && self.by_address.get(&entry.location.peer) == Some(incarnation)
            {
                self.by_address.remove(&entry.location.peer);
            }
        }
        !removed.is_empty()
    }

    /// Changes an entry and updates the hashes and the count.
    fn change(&mut self, incarnation: id::Incarnation, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get(&incarnation) else { return };
        if entry.state.is_member() {
            self.count -= 1;
        }
        self.toggle_hashes(incarnation);
        if let Some(entry) = self.entries.get_mut(&incarnation) {
            change(entry);
        }
        self.toggle(incarnation);
    }

    /// Adds an entry to the hashes and the count, or removes it from the hashes if it was included.
    fn toggle(&mut self, incarnation: id::Incarnation) {
        self.toggle_hashes(incarnation);
        if self.entries.get(&incarnation).is_some_and(|entry| entry.state.is_member()) {
            self.count += 1;
        }
    }

    fn toggle_hashes(&mut self, incarnation: id::Incarnation) {
        if let Some(entry) = self.entries.get(&incarnation) {
            self.parts[part_of(incarnation)] ^= entry.hash(incarnation);
            self.members ^= entry.member_hash(incarnation);
        }
    }
}

fn part_of(incarnation: id::Incarnation) -> usize {
    let mixed = xxhash_rust::xxh3::xxh3_64(&incarnation.as_u64().to_le_bytes());
    usize::try_from(mixed % PARTS as u64).unwrap_or(0)
}

fn shorten(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or(0)
}
