//! What one endpoint's cache is believed to hold.

use std::collections;

/// Follows one endpoint's prefix cache, the least recently used blocks leaving first.
#[derive(Clone, Debug, Default)]
pub(super) struct Contents {
    /// How many blocks the cache holds.
    capacity: u64,
    clock: u64,
    /// The sum of `blocks` over `entries`; at most `capacity`.
    blocks: u64,
    entries: collections::HashMap<u64, Entry>,
    /// The same entries by their last use.
    by_use: collections::BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    used: u64,
    blocks: u32,
}

impl Contents {
    /// Sets the capacity, in blocks.
    pub(super) fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Marks a block as used now, adding it if need be.
    pub(super) fn touch(&mut self, block: u64, blocks: u32) {
        self.clock += 1;
        let entry = Entry { used: self.clock, blocks };
        if let Some(old) = self.entries.insert(block, entry) {
            self.by_use.remove(&old.used);
            self.blocks -= u64::from(old.blocks);
        }
        self.blocks += u64::from(blocks);
        self.by_use.insert(self.clock, block);
    }

    /// Takes out the block that was not used for longest if the cache is over full.
    pub(super) fn evict(&mut self) -> Option<u64> {
        if self.blocks <= self.capacity && self.entries.len() as u64 <= self.capacity {
            return None;
        }
        let (_, block) = self.by_use.pop_first()?;
        let entry = self.entries.remove(&block)?;
        self.blocks -= u64::from(entry.blocks);
        Some(block)
    }

    pub(super) fn remove(&mut self, block: u64) {
        if let Some(entry) = self.entries.remove(&block) {
            self.by_use.remove(&entry.used);
            self.blocks -= u64::from(entry.blocks);
        }
    }

    pub(super) fn contains(&self, block: u64) -> bool {
        self.entries.contains_key(&block)
    }

    /// Empties the contents and returns the blocks that were in them.
    pub(super) fn clear(&mut self) -> Vec<u64> {
        self.by_use.clear();
        self.blocks = 0;
        self.entries.drain().map(|(block, _)| block).collect()
    }
}
