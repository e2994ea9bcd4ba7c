//! Records in the key-value service that settle who may dispatch.

use crate::id;

/// Records that a coordinator is about to dispatch; written before the dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The coordinator that will dispatch.
    pub coordinator: id::Incarnation,
    /// The mark of this attempt to write.
    pub nonce: id::Nonce,
    /// Where the coordinator will dispatch, for resuming the stream.
    pub endpoint: id::EndpointName,
    /// The fingerprint of the request's body; another body under the same identifier is refused.
    pub fingerprint: u64,
}

/// Holds what the key-value service knows of one request; created once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// The request is dispatched by the named coordinator and by nobody else.
    Intent(Intent),
    /// The request was refused as not run; nobody may dispatch it.
    Closed {
        /// The mark of the attempt to close.
        nonce: id::Nonce,
    },
}

impl Record {
    /// Returns the mark of the attempt that wrote the record.
    pub const fn nonce(&self) -> id::Nonce {
        match self {
            Self::Intent(intent) => intent.nonce,
            Self::Closed { nonce } => *nonce,
        }
    }
}
