//! The prefix cache that an endpoint is assumed to have.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway;

/// A model of an endpoint's prefix cache, computed from the prompts that were placed there. The least
/// recently used parts are evicted first.
///
/// It never holds more than `capacity` tokens, and never a part that was not placed there.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    parts: lru::LruCache<u64, Part>,
    /// The sum of the tokens of `parts`.
    tokens: u64,
    capacity: u64,
}

/// A cached part of a prompt.
#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    last_used: Timestamp,
}

/// How long after its last use a part is likely to be used again: requests of a session or about a document
/// come every few seconds.
const REUSE_PERIOD: time::Duration = time::Duration::from_secs(6);

/// The minimum number of tokens that a part counts as, so that tiny parts cannot fill this daemon's memory.
const MIN_PART_TOKENS: u32 = 16;

impl PrefixCache {
    /// Creates an empty cache of `capacity` tokens.
    pub(super) fn new(capacity: u32) -> Self {
        Self { parts: lru::LruCache::unbounded(), tokens: 0, capacity: u64::from(capacity) }
    }

    /// Returns the number of tokens at the beginning of a prompt that are cached.
    pub(super) fn cached_tokens(&self, parts: &[gateway::PromptPart]) -> u32 {
        let cached = parts.iter().take_while(|part| self.parts.contains(&part.key));
        cached.fold(0, |tokens, part| tokens.saturating_add(part.tokens))
    }

    /// Returns the number of recently used tokens that are evicted if `uncached` more are read.
    pub(super) fn evicted_tokens(&self, now: Timestamp, uncached: u32) -> u32 {
        let is_recent = |(_, part): (&u64, &Part)| now.since(part.last_used) < REUSE_PERIOD;
        if !self.parts.peek_lru().is_some_and(is_recent) {
            return 0;
        }
        let excess = (self.tokens + u64::from(uncached)).saturating_sub(self.capacity);
        u32::try_from(excess).unwrap_or(u32::MAX).min(uncached)
    }

    /// Records that the endpoint reads a prompt.
    pub(super) fn insert(&mut self, now: Timestamp, parts: &[gateway::PromptPart]) {
        // A part is useless without the parts before it, so those are evicted later.
        for part in parts.iter().rev() {
            let tokens = part.tokens.max(MIN_PART_TOKENS);
            let previous = self.parts.put(part.key, Part { tokens, last_used: now });
            self.tokens += u64::from(tokens);
            self.tokens -= previous.map_or(0, |previous| u64::from(previous.tokens));
        }
        while self.tokens > self.capacity {
            let Some((_, part)) = self.parts.pop_lru() else { break };
            self.tokens -= u64::from(part.tokens);
        }
    }
}
