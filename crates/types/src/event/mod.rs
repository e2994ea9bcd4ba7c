//! Events of the timeline.

use crate::id;

/// One state change in one process.
///
/// Within an incarnation, `seq` rises without gaps. Across processes, the order by `clock` is consistent
/// with causality; the wall clocks of different hosts disagree.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The wall-clock time of the host, in microseconds since the Unix epoch.
    pub time_us: u64,
    /// The host of the process.
    pub host: id::HostName,
    /// The incarnation of the process.
    pub incarnation: id::Incarnation,
    /// The sequence number within the incarnation, from 1.
    pub seq: u64,
    /// The Lamport clock: higher than that of every event that this one can depend on.
    pub clock: u64,
    /// The request, if the event is about one.
    #[serde(default)]
    pub key: Option<id::RequestKey>,
    /// What happened, as a stable code such as `accepted` or `dispatched`.
    pub kind: String,
    /// Human-readable details.
    #[serde(default)]
    pub detail: String,
}
