//! One stream in the batch of a modelled engine.

use trefoildyke_types::engine;

use crate::model;

/// Holds the state of a stream that has a slot.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) job: model::Job,
    /// Prompt tokens taken from the cache.
    pub(super) cached: u32,
    /// Prompt tokens processed; with `cached`, at most `job.prompt_tokens`.
    pub(super) prefilled: u32,
    pub(super) generated: u32,
    /// Prompt tokens that the step in progress processes.
    pub(super) chunk: u32,
    /// Whether the step in progress generates a token.
    pub(super) decodes: bool,
}

impl Stream {
    pub(super) fn new(job: model::Job, cached: u32) -> Self {
        Self { job, cached, prefilled: 0, generated: 0, chunk: 0, decodes: false }
    }

    pub(super) fn prefill_left(&self) -> u32 {
        self.job.prompt_tokens - self.cached - self.prefilled
    }

    pub(super) fn decode_left(&self) -> u32 {
        self.job.max_tokens.saturating_sub(self.generated)
    }

    /// Plans the stream's part in a step and returns how many tokens of `budget` it takes.
    pub(super) fn plan(&mut self, budget: u32) -> u32 {
        self.chunk = self.prefill_left().min(budget);
        self.decodes = self.chunk == self.prefill_left();
        self.chunk
    }

    /// Carries out the planned part and returns the blocks that are newly processed.
    pub(super) fn carry_out(&mut self) -> &[u64] {
        let before = self.whole_blocks();
        self.prefilled += self.chunk;
        self.chunk = 0;
        let after = self.whole_blocks();
        self.job.prefix.get(before..after).unwrap_or_default()
    }

    pub(super) fn is_finished(&self) -> bool {
        self.generated >= self.job.output_tokens
    }

    /// Returns the blocks that this stream processed itself.
    pub(super) fn own_blocks(&self) -> &[u64] {
        let first = (self.cached / engine::BLOCK_TOKENS) as usize;
        self.job.prefix.get(first..self.whole_blocks()).unwrap_or_default()
    }

    fn whole_blocks(&self) -> usize {
        let blocks = ((self.cached + self.prefilled) / engine::BLOCK_TOKENS) as usize;
        blocks.min(self.job.prefix.len())
    }
}
