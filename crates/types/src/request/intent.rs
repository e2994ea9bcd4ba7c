//! Records in the key-value service that decide which coordinator may dispatch a request.

use crate::id;

/// A coordinator's intent to dispatch a request, written before the dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// The coordinator that will dispatch.
    pub coordinator: id::Incarnation,
    /// The nonce of this write attempt.
    pub nonce: id::Nonce,
    /// The endpoint that will get the request, from which its stream can be resumed.
    pub endpoint: id::EndpointName,
    /// The fingerprint of the request's body; a different body under the same identifier is refused.
    pub fingerprint: u64,
}

/// The record of one request in the key-value service, created once and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Only the named coordinator may dispatch the request.
    Intent(Intent),
    /// The request was refused as not run; no coordinator may dispatch it.
    Closed {
        /// The nonce of the attempt to close the request.
        nonce: id::Nonce,
    },
}

impl Record {
    /// Returns the nonce of the attempt that wrote the record.
    pub const fn nonce(&self) -> id::Nonce {
        match self {
            Self::Intent(intent) => intent.nonce,
            Self::Closed { nonce } => *nonce,
        }
    }
}
