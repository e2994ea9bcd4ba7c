//! A model of one endpoint's prefix cache.

use std::collections;

/// A model of one endpoint's prefix cache, which evicts the least recently used blocks first.
#[derive(Clone, Debug, Default)]
pub(super) struct CacheModel {
    /// How many blocks the cache can hold.
    capacity: u64,
    use_count: u64,
    /// The sum of `blocks` over `entries`; at most `capacity` after evictions.
    blocks: u64,
    entries: collections::HashMap<u64, Entry>,
    /// The blocks by the time of their last use.
    by_recency: collections::BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    last_used: u64,
    blocks: u32,
}

impl CacheModel {
    /// Sets the capacity, in blocks.
    pub(super) fn resize(&mut self, capacity: u64) {
        self.capacity = capacity;
    }

    /// Marks a block as just used and adds it if it is missing.
    pub(super) fn touch(&mut self, block: u64, blocks: u32) {
        self.use_count += 1;
        let entry = Entry { last_used: self.use_count, blocks };
        if let Some(old) = self.entries.insert(block, entry) {
            self.by_recency.remove(&old.last_used);
            self.blocks -= u64::from(old.blocks);
        }
        self.blocks += u64::from(blocks);
        self.by_recency.insert(self.use_count, block);
    }

    /// Removes and returns the least recently used block if the cache exceeds its capacity.
    pub(super) fn evict(&mut self) -> Option<u64> {
        if self.blocks <= self.capacity && self.entries.len() as u64 <= self.capacity {
            return None;
        }
        let (_, block) = self.by_recency.pop_first()?;
        let entry = self.entries.remove(&block)?;
        self.blocks -= u64::from(entry.blocks);
        Some(block)
    }

    pub(super) fn remove(&mut self, block: u64) {
        if let Some(entry) = self.entries.remove(&block) {
            self.by_recency.remove(&entry.last_used);
            self.blocks -= u64::from(entry.blocks);
        }
    }

    pub(super) fn contains(&self, block: u64) -> bool {
        self.entries.contains_key(&block)
    }

    /// Removes all blocks and returns them.
    pub(super) fn clear(&mut self) -> Vec<u64> {
        self.by_recency.clear();
        self.blocks = 0;
        self.entries.drain().map(|(block, _)| block).collect()
    }
}
