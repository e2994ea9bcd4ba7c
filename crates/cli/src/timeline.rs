//! Merging the events of many daemons.

use trefoildyke_types::event;

/// Brings events into an order that keeps cause before effect.
///
/// An event's Lamport clock is higher than that of every event it can depend on, so its order is
/// one. Events with equal clocks cannot depend on one another; they stand in the order of their
/// wall clocks, which is only a hint. An event that was read twice is kept once.
pub fn merge(mut events: Vec<event::Event>) -> Vec<event::Event> {
    events.sort_by(|one, two| order(one).cmp(&order(two)));
    events.dedup_by_key(|event| (event.incarnation, event.seq));
    events
}

fn order(event: &event::Event) -> impl Ord {
    (event.clock, event.time_us, event.incarnation, event.seq)
}
