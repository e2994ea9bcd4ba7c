//! Reports on dispatched work.

use trefoildyke_types::id;

use crate::peer;

/// Tells the scheduler of one pool shard how dispatched work goes on.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReportRequest {
    /// The pool.
    pub pool: id::PoolName,
    /// The shard of the pool.
    pub shard: u32,
    /// The reports in order, as the scheduling service encodes them.
    pub reports: peer::Payload,
}
