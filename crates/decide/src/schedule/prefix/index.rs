//! Finds the endpoints that have a prompt's prefix.

use std::collections;

use trefoildyke_types::engine;

use crate::schedule::prefix::{Checkpoint, contents};

/// How many endpoints the index tells apart; others are never matched.
const MAX_ENDPOINTS: usize = 64;

/// Holds which endpoints have which prefixes.
///
/// What the scheduler placed is entered as pending, becomes ready with the first token, and leaves
/// as the least recently used; cache events correct it. Memory is bounded by the caches' sizes.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Index {
    holders: collections::HashMap<u64, Holders>,
    contents: Vec<contents::Contents>,
}

/// Names the endpoints that have a block, one bit each.
#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    ready: u64,
    /// Endpoints that are processing the block.
    pending: u64,
}

/// Tells for each endpoint how many prompt tokens its cache has.
#[derive(Clone, Debug)]
pub(in crate::schedule) struct Matches {
    /// Tokens that can be reused now.
    ready: [u32; MAX_ENDPOINTS],
    /// Tokens that can be reused once a prompt in progress is processed.
    pending: [u32; MAX_ENDPOINTS],
}

impl Matches {
    /// Returns how many prompt tokens the endpoint's cache has.
    pub(in crate::schedule) fn get(&self, endpoint: usize) -> u32 {
        self.ready.get(endpoint).copied().unwrap_or(0)
    }

    /// Returns how many it will have once the prompts in progress are processed.
    pub(in crate::schedule) fn pending(&self, endpoint: usize) -> u32 {
        self.pending.get(endpoint).copied().unwrap_or(0)
    }
}

impl Index {
    pub(in crate::schedule) fn new() -> Self {
        Self {
            holders: collections::HashMap::new(),
            contents: vec![contents::Contents::default(); MAX_ENDPOINTS],
        }
    }

    /// Sets how many prompt tokens the cache of an endpoint holds.
    pub(in crate::schedule) fn resize(&mut self, endpoint: usize, tokens: u32) {
        if let Some(contents) = self.contents.get_mut(endpoint) {
            contents.resize(u64::from(tokens / engine::BLOCK_TOKENS));
            self.evict(endpoint);
        }
    }

    /// Returns what the endpoints have of a prompt.
    pub(in crate::schedule) fn matches(&self, checkpoints: &[Checkpoint]) -> Matches {
        let mut matches = Matches { ready: [0; MAX_ENDPOINTS], pending: [0; MAX_ENDPOINTS] };
        let (mut ready, mut pending) = (0, 0);
        for checkpoint in checkpoints.iter().rev() {
            let Some(holders) = self.holders.get(&checkpoint.block) else { continue };
            set(&mut matches.ready, holders.ready & !ready, checkpoint.tokens);
            set(&mut matches.pending, holders.pending & !pending, checkpoint.tokens);
            ready |= holders.ready;
            pending |= holders.pending;
        }
        matches
    }

    /// Enters a prompt that was placed and is to be processed.
    pub(in crate::schedule) fn place(&mut self, endpoint: usize, checkpoints: &[Checkpoint]) {
        self.enter(endpoint, checkpoints, true, |holders, bit| {
            if holders.ready & bit == 0 {
                holders.pending |= bit;
            }
        });
    }

    /// Says that a placed prompt is processed.
    pub(in crate::schedule) fn confirm(&mut self, endpoint: usize, checkpoints: &[Checkpoint]) {
        self.enter(endpoint, checkpoints, false, |holders, bit| {
            holders.pending &= !bit;
            holders.ready |= bit;
        });
    }

    /// Takes back a placed prompt that will not be processed.
    pub(in crate::schedule) fn withdraw(&mut self, endpoint: usize, checkpoints: &[Checkpoint]) {
        for checkpoint in checkpoints {
            let Some(holders) = self.holders.get(&checkpoint.block) else { continue };
            if endpoint < MAX_ENDPOINTS && holders.ready & (1 << endpoint) == 0 {
                self.remove(endpoint, checkpoint.block);
            }
        }
    }

    /// Takes in a change that an engine published.
    pub(in crate::schedule) fn publish(&mut self, endpoint: usize, event: &engine::CacheEvent) {
        let Some(contents) = self.contents.get_mut(endpoint) else { return };
        let bit = 1 << endpoint;
        match event.kind {
            engine::CacheEventKind::Stored => {
                if !contents.contains(event.block) {
                    contents.touch(event.block, 0);
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

    /// Forgets all that an endpoint had.
    pub(in crate::schedule) fn clear(&mut self, endpoint: usize) {
        let Some(contents) = self.contents.get_mut(endpoint) else { return };
        for block in contents.clear() {
            self.unset(endpoint, block);
        }
    }

    fn enter(
        &mut self,
        endpoint: usize,
        checkpoints: &[Checkpoint],
        is_use: bool,
        change: impl Fn(&mut Holders, u64),
    ) {
        let Some(contents) = self.contents.get_mut(endpoint) else { return };
        // The beginning of a prompt counts as used last: a chain loses its end first.
        for checkpoint in checkpoints.iter().rev() {
            if is_use || !contents.contains(checkpoint.block) {
                contents.touch(checkpoint.block, checkpoint.blocks);
            }
            change(self.holders.entry(checkpoint.block).or_default(), 1 << endpoint);
        }
        self.evict(endpoint);
    }

    fn evict(&mut self, endpoint: usize) {
        while let Some(block) = self.contents[endpoint].evict() {
            self.unset(endpoint, block);
        }
    }

    fn remove(&mut self, endpoint: usize, block: u64) {
        self.contents[endpoint].remove(block);
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

fn set(tokens: &mut [u32; MAX_ENDPOINTS], mut bits: u64, value: u32) {
    while bits != 0 {
        tokens[bits.trailing_zeros() as usize] = value;
        bits &= bits - 1;
    }
}
