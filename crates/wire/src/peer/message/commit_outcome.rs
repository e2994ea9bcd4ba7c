//! The result of writing a record.

use trefoildyke_types::request;

/// The result of writing a record.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// The record was created.
    Created,
    /// A record with the same key already exists and was kept.
    Exists(request::Record),
    /// The record may have been written or may be written later.
    Unsure,
    /// The record was not and will not be written.
    Unavailable,
    /// The time in the request ID is outside the span for which records are kept.
    Expired,
}
