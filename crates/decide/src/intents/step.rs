//! What a commit needs next.

use crate::intents;

/// Says what a commit needs next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the slot's parts from `first` on, or the first few of them.
    Read {
        /// The index of the first part.
        first: u32,
    },
    /// Write a part, if its key is at the expected revision.
    Write {
        /// The part's index.
        index: u32,
        /// The revision that must stand; 0 if the key must not exist.
        expect: u64,
        /// The new value.
        part: intents::Part,
    },
    /// Nothing: every row has its outcome.
    Done,
}
