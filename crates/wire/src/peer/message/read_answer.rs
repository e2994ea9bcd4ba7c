//! The result of reading an answer from its coordinator.

use trefoildyke_types::request;

/// The state of an answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadAnswer {
    /// The chunks from the requested offset on; empty if none arrived within `wait_ms`.
    Chunks(Vec<request::Chunk>),
    /// The request was refused.
    Refused(request::Refusal),
    /// This daemon does not know the request.
    Unknown,
}
