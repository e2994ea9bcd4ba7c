//! The prefix cache of a modelled engine.

use std::collections;

/// Holds the hashes of prompt blocks and evicts the least recently used one when full.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    /// When each block was last used; the same pairs as in `by_use`.
    used: collections::HashMap<u64, u64>,
    by_use: collections::BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Returns how many blocks the cache holds.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Says whether the cache holds no block.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Returns how many leading blocks of `prefix` the cache holds.
    pub fn matched(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Marks the blocks as used now.
    ///
    /// The first block counts as the most recently used, so that a chain loses its end first.
    pub fn touch(&mut self, blocks: &[u64]) {
        for &block in blocks.iter().rev() {
            if self.used.contains_key(&block) {
                self.mark(block);
            }
        }
    }

    /// Stores a block and returns the one that had to leave, if any.
    ///
    /// Returns `None` if the block was already there. `Some(None)` says that it was stored and
    /// nothing had to leave.
    pub fn store(&mut self, block: u64) -> Option<Option<u64>> {
        if self.capacity == 0 {
            return None;
        }
        let fresh = !self.used.contains_key(&block);
        self.mark(block);
        fresh.then(|| self.evict())
    }

    fn mark(&mut self, block: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(block, self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, block);
    }

    fn evict(&mut self) -> Option<u64> {
        if self.used.len() <= self.capacity {
            return None;
        }
        let (_, block) = self.by_use.pop_first()?;
        self.used.remove(&block);
        Some(block)
    }
}
