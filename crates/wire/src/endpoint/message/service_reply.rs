//! `POST /v1/call/OPERATION`

use trefoildyke_types::id;

/// Answers a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceReply {
    /// The request that is answered.
    pub id: id::RequestId,
    /// The output.
    pub output: String,
}
