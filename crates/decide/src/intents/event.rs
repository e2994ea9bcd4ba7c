//! What became of a commit's step.

use crate::intents;

/// Holds a part as it stands in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stored {
    /// The part's index.
    pub index: u32,
    /// The revision that wrote it; at least 1.
    pub revision: u64,
    /// The part.
    pub part: intents::Part,
}

/// Says what became of a commit's last step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The read found these parts, in order and without gaps; none if there are none.
    Found(Vec<Stored>),
    /// The write took effect.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// The key was not at the expected revision; this stands instead.
    Conflict(Option<Stored>),
    /// The write was not answered: it may have taken effect or may still do so.
    Lost,
    /// The read or write was refused or could not be sent, and nothing changed.
    Refused,
}
