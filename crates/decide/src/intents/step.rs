//! The next step of a commit.

use crate::intents;

/// The next step of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the slot's parts from `first` on; the first few of them are sufficient.
    Read {
        /// The index of the first part to read.
        first: u32,
    },
    /// Write a part if its key is at the expected revision.
    Write {
        /// The part's index.
        index: u32,
        /// The expected revision of the key; 0 if the key must not exist.
        expected_revision: u64,
        /// The new value of the part.
        part: intents::Part,
    },
    /// Nothing is left to do: every row has its outcome.
    Done,
}
