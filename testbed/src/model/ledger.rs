//! What a modelled engine has done, for judging a run.

use std::collections;

use trefoildyke_types::{engine, id};

/// Counts what one engine has done.
///
/// A prompt token is *prefilled* when an engine processes it and *cached* when the engine takes
/// its state from the prefix cache. A prefilled token is *useful* if its stream completed and no
/// completed stream, on any engine of the fleet, had its block processed besides: of all times
/// that completed streams processed a block, one is useful. Tokens behind the last hashed block
/// cannot be reused and are useful whenever their stream completed. A token is *pending* while its
/// stream is in progress. Every other prefilled token is *wasted*: it was processed again for a
/// prefix that had been processed somewhere before and was not reused, or for a stream that was
/// cancelled, lost or never completed. So `prefilled = useful + pending + wasted`.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// How often each request was submitted; more than 1 is a double dispatch.
    pub starts: collections::BTreeMap<id::RequestKey, u32>,
    /// Streams that completed.
    pub completed: u64,
    /// Prompt tokens that were processed.
    pub prefilled: u64,
    /// Prompt tokens that were taken from the prefix cache.
    pub cached: u64,
    /// Tokens that were generated.
    pub generated: u64,
    /// Prompt tokens processed for streams in progress.
    pub pending: u64,
    /// Prompt tokens behind the last hashed block, processed for completed streams.
    tails: u64,
    /// Blocks that at least one completed stream had processed here.
    blocks: collections::HashSet<u64>,
}

/// Adds up what the engines of a fleet have done; the words are those of [`Ledger`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Totals {
    /// Streams that completed.
    pub completed: u64,
    /// Prompt tokens that were processed.
    pub prefilled: u64,
    /// Prompt tokens that were taken from a prefix cache.
    pub cached: u64,
    /// Tokens that were generated.
    pub generated: u64,
    /// Prompt tokens processed for streams in progress.
    pub pending: u64,
    /// Prompt tokens processed in vain.
    pub wasted: u64,
}

impl Ledger {
    /// Counts a submission.
    pub fn start(&mut self, key: &id::RequestKey) {
        *self.starts.entry(key.clone()).or_default() += 1;
    }

    /// Counts prompt tokens processed for a stream in progress.
    pub fn prefill(&mut self, tokens: u32) {
        self.prefilled += u64::from(tokens);
        self.pending += u64::from(tokens);
    }

    /// Counts a stream that completed, for which `prefilled` tokens were processed, among them the
    /// hashed `blocks`.
    pub fn complete(&mut self, prefilled: u32, blocks: &[u64]) {
        self.completed += 1;
        self.pending -= u64::from(prefilled);
        let hashed = blocks.len() as u64 * u64::from(engine::BLOCK_TOKENS);
        self.tails += u64::from(prefilled).saturating_sub(hashed);
        self.blocks.extend(blocks);
    }

    /// Counts a stream that will never complete, for which `prefilled` tokens were processed.
    pub fn abandon(&mut self, prefilled: u32) {
        self.pending -= u64::from(prefilled);
    }

    /// Returns what this engine alone has done.
    pub fn totals(&self) -> Totals {
        Self::fleet([self])
    }

    /// Returns what all engines of a fleet have done together.
    pub fn fleet<'a>(ledgers: impl IntoIterator<Item = &'a Self>) -> Totals {
        let mut totals = Totals::default();
        let mut blocks = collections::HashSet::<u64>::new();
        let mut tails = 0;
        for ledger in ledgers {
            totals.completed += ledger.completed;
            totals.prefilled += ledger.prefilled;
            totals.cached += ledger.cached;
            totals.generated += ledger.generated;
            totals.pending += ledger.pending;
            tails += ledger.tails;
            blocks.extend(&ledger.blocks);
        }
        let useful = tails + blocks.len() as u64 * u64::from(engine::BLOCK_TOKENS);
        totals.wasted = totals.prefilled - totals.pending - useful;
        totals
    }
}
