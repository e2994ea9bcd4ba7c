//! The blocks of a prompt that stand for its prefixes.

use trefoildyke_types::engine;

/// Stands for all blocks of a prompt up to a position.
///
/// Remembering only these keeps the cost of a placement logarithmic in the prompt's length; a match
/// is found too short by at most a quarter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::schedule) struct Checkpoint {
    /// The hash of the block, which covers all blocks before it.
    pub(in crate::schedule) block: u64,
    /// The prompt tokens up to and with the block.
    pub(in crate::schedule) tokens: u32,
    /// How many blocks lie between the checkpoint before and this one, this one included.
    pub(in crate::schedule) blocks: u32,
}

/// Positions up to this one are all checkpoints.
const DENSE: usize = 4;

/// Returns the checkpoints of a prompt, the shortest prefix first.
pub(in crate::schedule) fn checkpoints(prefix: &[u64]) -> Vec<Checkpoint> {
    let mut found = Vec::new();
    let (mut before, mut position) = (0, 1);
    while before < prefix.len() {
        let at = position.min(prefix.len());
        found.push(Checkpoint {
            block: prefix[at - 1],
            tokens: at as u32 * engine::BLOCK_TOKENS,
            blocks: (at - before) as u32,
        });
        before = at;
        position = if at < DENSE { at + 1 } else { at + at / 4 };
    }
    found
}
