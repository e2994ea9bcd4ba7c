//! The result of a commit's step.

use crate::intents;

/// A part as it exists in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// The part's index.
    pub index: u32,
    /// The revision at which the part was written; at least 1.
    pub revision: u64,
    /// The content of the part.
    pub part: intents::Part,
}

/// The result of a commit's last step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StepResult {
    /// The read found these parts, in order and without gaps; empty if no part exists.
    Found(Vec<Stored>),
    /// The write took effect.
    Written {
        /// The revision of the write.
        revision: u64,
    },
    /// The key was not at the expected revision; the value is the part that exists, if any.
    Conflict(Option<Stored>),
    /// The write was not answered: it may have taken effect, or may still do so.
    Unanswered,
    /// The read or write was refused or could not be sent, and nothing changed.
    Refused,
}
