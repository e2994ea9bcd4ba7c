//! An index of the prompt prefixes that endpoints have cached.

use std::collections;

use trefoildyke_types::engine;

use crate::schedule::prefix::{Checkpoint, cache_model};

/// The number of endpoints that the index covers; others never match.
const MAX_ENDPOINTS: usize = 64;

/// Records which endpoints have which prompt prefixes cached.
///
/// A placed prompt's blocks are pending until its first token arrives, then ready, until they are
/// evicted as the least recently used; cache events correct the entries. Memory is bounded by the
/// sizes of the caches.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Index {
    holders: collections::HashMap<u64, Holders>,
    caches: Vec<cache_model::CacheModel>,
}

/// The endpoints that have a block, as bit masks.
#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    ready: u64,
    /// The endpoints that are processing the block.
    pending: u64,
}

/// How many tokens of a prompt each endpoint's cache has.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Matches {
    /// Tokens that can be reused now.
    ready: [u32; MAX_ENDPOINTS],
    /// Tokens that can be reused once a prompt in progress is processed.
    pending: [u32; MAX_ENDPOINTS],
}

impl Matches {
    /// Returns how many of the prompt's tokens the endpoint's cache has.
    pub(in crate::schedule) fn get(&self, endpoint: usize) -> u32 {
        self.ready.get(endpoint).copied().unwrap_or(0)
    }

    /// Returns how many tokens the endpoint's cache will have once the prompts in progress are
    /// processed.
    pub(in crate::schedule) fn pending(&self, endpoint: usize) -> u32 {
        self.pending.get(endpoint).copied().unwrap_or(0)
    }
}

impl Index {
    pub(in crate::schedule) fn new() -> Self {
        Self {
            holders: collections::HashMap::new(),
            caches: vec![cache_model::CacheModel::default(); MAX_ENDPOINTS],
        }
    }

    /// Sets the capacity of an endpoint's cache, in prompt tokens.
    pub(in crate::schedule) fn resize(&mut self, endpoint: usize, tokens: u32) {
        if let Some(cache) = self.caches.get_mut(endpoint) {
            cache.resize(u64::from(tokens / engine::BLOCK_TOKENS));
            self.evict(endpoint);
        }
    }

    /// Returns how much of a prompt each endpoint has.
    pub(in crate::schedule) fn matches(&self, checkpoints: &[Checkpoint]) -> Matches {
        let mut matches = Matches { ready: [0; MAX_ENDPOINTS], pending: [0; MAX_ENDPOINTS] };
        let (mut ready, mut pending) = (0, 0);
        for checkpoint in checkpoints.iter().rev() {
            let Some(holders) = self.holders.get(&checkpoint.block) else { continue };
            set_tokens(&mut matches.ready, holders.ready & !ready, checkpoint.tokens);
            set_tokens(&mut matches.pending, holders.pending & !pending, checkpoint.tokens);
            ready |= holders.ready;
            pending |= holders.pending;
        }
        matches
    }

    /// Adds a placed prompt that is still to be processed.
    pub(in crate::schedule) fn insert_pending(
        &mut self,
        endpoint: usize,
        checkpoints: &[Checkpoint],
    ) {
        self.insert(endpoint, checkpoints, true, |holders, bit| {
            if holders.ready & bit == 0 {
                holders.pending |= bit;
            }
        });
    }

    /// Marks a placed prompt as processed.
    pub(in crate::schedule) fn mark_ready(&mut self, endpoint: usize, checkpoints: &[Checkpoint]) {
        self.insert(endpoint, checkpoints, false, |holders, bit| {
            holders.pending &= !bit;
            holders.ready |= bit;
        });
    }

    /// Removes a placed prompt that will not be processed.
    pub(in crate::schedule) fn remove_pending(
        &mut self,
        endpoint: usize,
        checkpoints: &[Checkpoint],
    ) {
        for checkpoint in checkpoints {
            let Some(holders) = self.holders.get(&checkpoint.block) else { continue };
            if endpoint < MAX_ENDPOINTS && holders.ready & (1 << endpoint) == 0 {
                self.remove(endpoint, checkpoint.block);
            }
        }
    }

    /// Applies a cache event that an engine published.
    pub(in crate::schedule) fn apply_event(&mut self, endpoint: usize, event: &engine::CacheEvent) {
        let Some(cache) = self.caches.get_mut(endpoint) else { return };
        let bit = 1 << endpoint;
        match event.kind {
            engine::CacheEventKind::Stored => {
                if !cache.contains(event.block) {
                    cache.touch(event.block, 0);
                }
                let holders = self.holders.entry(event.block).or_default();
                holders.ready |= bit;
                holders.pending &= !bit;
                self.evict(endpoint);
            }
            engine::CacheEventKind::Evicted => {
                let holders = self.holders.get(&event.block).copied().unwrap_or_default();
                if holders.pending & bit == 0 && holders.ready & bit != 0 {
                    self.remove(endpoint, event.block);
                }
            }
        }
    }

    /// Removes all entries of an endpoint.
    pub(in crate::schedule) fn clear(&mut self, endpoint: usize) {
        let Some(cache) = self.caches.get_mut(endpoint) else { return };
        for block in cache.clear() {
            self.unset(endpoint, block);
        }
    }

    fn insert(
        &mut self,
        endpoint: usize,
        checkpoints: &[Checkpoint],
        is_used: bool,
        change: impl Fn(&mut Holders, u64),
    ) {
        let Some(cache) = self.caches.get_mut(endpoint) else { return };
        // The blocks are touched in reverse order, so that the end of a prefix is evicted before
        // its beginning.
        for checkpoint in checkpoints.iter().rev() {
            if is_used || !cache.contains(checkpoint.block) {
                cache.touch(checkpoint.block, checkpoint.blocks);
            }
            change(self.holders.entry(checkpoint.block).or_default(), 1 << endpoint);
        }
        self.evict(endpoint);
    }

    fn evict(&mut self, endpoint: usize) {
        while let Some(block) = self.caches[endpoint].evict() {
            self.unset(endpoint, block);
        }
    }

    fn remove(&mut self, endpoint: usize, block: u64) {
        self.caches[endpoint].remove(block);
        self.unset(endpoint, block);
    }

    fn unset(&mut self, endpoint: usize, block: u64) {
        let Some(holders) = self.holders.get_mut(&block) else { return };
        holders.ready &= !(1 << endpoint);
        holders.pending &= !(1 << endpoint);
        if holders.ready | holders.pending == 0 {
            self.holders.remove(&block);
        }
    }
}

fn set_tokens(tokens: &mut [u32; MAX_ENDPOINTS], mut bits: u64, value: u32) {
    while bits != 0 {
        tokens[bits.trailing_zeros() as usize] = value;
        bits &= bits - 1;
    }
}
