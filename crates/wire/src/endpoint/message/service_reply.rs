//! The answer of `POST /v1/call/OPERATION`.

use trefoildyke_types::id;

/// The answer to a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceReply {
    /// The ID of the answered request.
    pub id: id::RequestId,
    /// The operation's output.
    pub output: String,
}
