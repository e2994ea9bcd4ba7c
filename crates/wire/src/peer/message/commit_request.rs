//! The request to write records through the owner of their buckets.

use trefoildyke_types::{id, request};

/// A request to the owner of buckets to write records; each is created only if its key is absent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommitRequest {
    /// The records; the keys are unique.
    pub records: Vec<(id::RequestKey, request::Record)>,
}
