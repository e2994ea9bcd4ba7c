//! Reports on dispatched work.

use trefoildyke_types::id;

use crate::peer;

/// A report to the scheduler of one pool shard on the progress of dispatched work.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportRequest {
    /// The pool.
    pub pool: id::PoolName,
    /// The shard of the pool.
    pub shard: u32,
    /// The reports, in order, as the scheduling service encodes them.
    pub reports: peer::Payload,
}
