//! Merges the events of several daemons.

use trefoildyke_types::event;

/// Returns the events in an order that keeps cause before effect, without duplicates.
///
/// The Lamport clock of an event is higher than the clock of every event it can depend on, so sorting by
/// it keeps causal order. Events with equal clocks are independent; they are sorted by wall clock, which is
/// only approximate. An event that was read twice is kept once.
pub fn merge(mut events: Vec<event::Event>) -> Vec<event::Event> {
    events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    events.dedup_by_key(|event| (event.incarnation, event.seq));
    events
}

fn sort_key(event: &event::Event) -> impl Ord {
    (event.clock, event.time_us, event.incarnation, event.seq)
}
