//! Writing records through the owner of their buckets.

use trefoildyke_types::{id, request};

/// Asks the owner of some buckets to write records, each created only if absent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommitRequest {
    /// The records; no key stands twice.
    pub records: Vec<(id::RequestKey, request::Record)>,
}
