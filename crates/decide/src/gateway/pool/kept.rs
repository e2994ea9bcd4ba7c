//! What an endpoint is assumed to have kept of the prompts that it has read.

use std::time;

use trefoildyke_types::time::Timestamp;

use crate::gateway;

/// Follows which beginnings of prompts an endpoint still has in its memory, from what was placed there: the least recently
/// used go first.
///
/// Never more tokens than `most` are counted as kept, and never a part that was not placed there.
#[derive(Clone, Debug)]
pub(super) struct Kept {
    parts: lru::LruCache<u64, Part>,
    /// The sum of the tokens of `parts`.
    tokens: u64,
    most: u64,
}

/// A part that is kept.
#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    used: Timestamp,
}

/// How soon after its last use a part is likely to be used again: sessions and documents are asked about every few
/// seconds.
const IN_USE: time::Duration = time::Duration::from_secs(6);

/// As how many tokens a part counts at least, so that tiny parts cannot fill this daemon's memory.
const LEAST: u32 = 16;

impl Kept {
    /// Starts with nothing; `most` is how many tokens are kept.
    pub(super) fn new(most: u32) -> Self {
        Self { parts: lru::LruCache::unbounded(), tokens: 0, most: u64::from(most) }
    }

    /// Returns how many tokens at the beginning of a prompt need not be read again.
    pub(super) fn longest(&self, parts: &[gateway::PromptPart]) -> u32 {
        let kept = parts.iter().take_while(|part| self.parts.contains(&part.key));
        kept.fold(0, |tokens, part| tokens.saturating_add(part.tokens))
    }

    /// Returns how many tokens that are in use have to go if `unread` more are read.
    pub(super) fn displaced(&self, now: Timestamp, unread: u32) -> u32 {
        let is_in_use = |(_, part): (&u64, &Part)| now.since(part.used) < IN_USE;
        if !self.parts.peek_lru().is_some_and(is_in_use) {
            return 0;
        }
        let over = (self.tokens + u64::from(unread)).saturating_sub(self.most);
        u32::try_from(over).unwrap_or(u32::MAX).min(unread)
    }

    /// Notes that a prompt is read there.
    pub(super) fn note(&mut self, now: Timestamp, parts: &[gateway::PromptPart]) {
        // A part is of no use without those before it, so they are to go later.
        for part in parts.iter().rev() {
            let tokens = part.tokens.max(LEAST);
            let before = self.parts.put(part.key, Part { tokens, used: now });
            self.tokens += u64::from(tokens);
            self.tokens -= before.map_or(0, |before| u64::from(before.tokens));
        }
        while self.tokens > self.most {
            let Some((_, part)) = self.parts.pop_lru() else { break };
            self.tokens -= u64::from(part.tokens);
        }
    }
}
