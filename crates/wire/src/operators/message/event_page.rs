//! A page of one daemon's events.

use trefoildyke_types::event;

/// A page of events of one daemon, in the order in which they happened.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EventPage {
    /// The events after the requested sequence number that the daemon still keeps.
    pub events: Vec<event::Event>,
    /// The sequence number to pass in the next call.
    pub next: u64,
    /// Whether the daemon keeps more events after this page.
    pub more: bool,
}
