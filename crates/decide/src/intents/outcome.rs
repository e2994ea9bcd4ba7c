//! The outcome of writing a row.

use trefoildyke_types::request;

use crate::coordinate;

/// The outcome of writing a row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The record exists as written, and no record existed before.
    Created,
    /// Another record already existed.
    Exists(request::Record),
    /// It is unknown whether the record exists now or will exist later.
    Unknown,
    /// The record was not written, and this commit's writes will never take effect.
    Unavailable,
    /// The identifier is too old or from the future, or its slot was deleted; nothing was written.
    Expired,
}

impl From<Outcome> for coordinate::WriteOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Created => Self::Created,
            Outcome::Exists(record) => Self::Exists(record),
            Outcome::Unknown => Self::Unsure,
            Outcome::Unavailable | Outcome::Expired => Self::Unavailable,
        }
    }
}
