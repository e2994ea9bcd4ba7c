//! Answers read from their coordinator.

use trefoildyke_types::request;

/// Tells how an answer stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadAnswer {
    /// The chunks from the offset on; empty if none came in the time given.
    Chunks(Vec<request::Chunk>),
    /// The request was refused.
    Refused(request::Refusal),
    /// This daemon does not know the request.
    Unknown,
}
