//! Records of state changes for the time line.

use crate::id;

/// Records one state change in one process.
///
/// Within an incarnation `seq` rises without gaps; over processes, causal order follows from
/// `clock`, since wall clocks of hosts disagree.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// The wall clock of the host, in microseconds since the Unix epoch.
    pub time_us: u64,
    /// The host.
    pub host: id::HostName,
    /// The process.
    pub incarnation: id::Incarnation,
    /// The position in the process's own order, from 1.
    pub seq: u64,
    /// The Lamport clock: higher than that of every event this one can depend on.
    pub clock: u64,
    /// The request, if the event is about one.
    #[serde(default)]
    pub key: Option<id::RequestKey>,
    /// What happened, as a stable word such as `accepted` or `dispatched`.
    pub kind: String,
    /// Details for a person to read.
    #[serde(default)]
    pub detail: String,
}
