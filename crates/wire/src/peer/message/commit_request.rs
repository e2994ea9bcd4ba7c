//! Writing records through the owner of their bucket.

use trefoildyke_types::{id, request};

/// Asks the owner of a bucket to write records, each created only if absent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CommitRequest {
    /// The bucket.
    pub bucket: u32,
    /// The records; no key stands twice.
    pub records: Vec<(id::RequestKey, request::Record)>,
}
