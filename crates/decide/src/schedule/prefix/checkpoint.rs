//! Selected blocks of a prompt that represent its prefixes.

use trefoildyke_types::engine;

/// A prompt block that represents all blocks up to its position.
///
/// Only these blocks are remembered, which keeps the cost of a placement logarithmic in the
/// prompt's length. In return, a match is found too short by at most a quarter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::schedule) struct Checkpoint {
    /// The hash of the block, which covers all blocks before it.
    pub(in crate::schedule) block: u64,
    /// The number of prompt tokens up to the end of the block.
    pub(in crate::schedule) tokens: u32,
    /// The number of blocks after the previous checkpoint, up to and including this one.
    pub(in crate::schedule) blocks: u32,
}

/// Every block up to this position is a checkpoint.
const DENSE_POSITIONS: usize = 4;

/// Returns the checkpoints of a prompt, the shortest prefix first.
pub(in crate::schedule) fn checkpoints(prefix: &[u64]) -> Vec<Checkpoint> {
    let mut checkpoints = Vec::new();
    let (mut before, mut position) = (0, 1);
    while before < prefix.len() {
        let end = position.min(prefix.len());
        checkpoints.push(Checkpoint {
            block: prefix[end - 1],
            tokens: end as u32 * engine::BLOCK_TOKENS,
            blocks: (end - before) as u32,
        });
        before = end;
        position = if end < DENSE_POSITIONS { end + 1 } else { end + end / 4 };
    }
    checkpoints
}
