//! Events of one daemon's time line.

use trefoildyke_types::event;

/// Holds events of one daemon in the order in which they happened.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventPage {
    /// The events after the asked sequence number that the daemon still keeps.
    pub events: Vec<event::Event>,
    /// The sequence number to ask from next.
    pub next: u64,
    /// Whether more events are kept after the last one here.
    pub more: bool,
}
