//! What became of a row.

use trefoildyke_types::request;

use crate::coordinate;

/// Says what became of a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The record stands as written, and none stood before.
    Created,
    /// Another record stood before.
    Exists(request::Record),
    /// The record may or may not stand, now or later.
    Unsure,
    /// The record was not written and never will be.
    Unavailable,
    /// The identifier's time is outside the span for which records are kept; nothing was written.
    Expired,
}

impl From<Outcome> for coordinate::RecordOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Created => Self::Created,
            Outcome::Exists(record) => Self::Exists(record),
            Outcome::Unsure => Self::Unsure,
            Outcome::Unavailable | Outcome::Expired => Self::Unavailable,
        }
    }
}
