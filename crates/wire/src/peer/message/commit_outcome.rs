//! How a write of a record ended.

use trefoildyke_types::request;

/// Says how a write of a record ended.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// The record was created.
    Created,
    /// Another record stood there and still does.
    Exists(request::Record),
    /// The record may or may not stand, now or later.
    Unsure,
    /// The record was not written and never will be.
    Unavailable,
    /// The identifier's time is outside the span for which records are kept.
    Expired,
}
