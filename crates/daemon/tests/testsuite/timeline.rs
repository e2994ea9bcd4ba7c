use trefoildyke_daemon::timeline;
use trefoildyke_types::id;
use trefoildyke_wire::{operators::message, peer};

fn timeline(host: &str, number: u64, clock: &peer::Clock) -> timeline::Handle {
    let incarnation = id::Incarnation::from_u64(number);
    timeline::Handle::new(host.into(), incarnation, 3, clock.clone())
}

#[test]
fn the_oldest_events_are_dropped_first_and_positions_stay() {
    let timeline = timeline("entry-1", 1, &peer::Clock::default());
    for detail in ["a", "b", "c", "d"] {
        timeline.record(None, "tested", detail);
    }
    let page = timeline.read(0, 10);
    let details: Vec<_> = page.events.iter().map(|event| event.detail.as_str()).collect();
    assert_eq!(details, ["b", "c", "d"]);
    assert_eq!((page.events[0].seq, page.next), (2, 4));
    let page = timeline.read(3, 10);
    assert_eq!((page.events.len(), page.next), (1, 4));
    let end = message::EventPage { events: vec![], next: 4, more: false };
    assert_eq!(timeline.read(4, 10), end);
    assert!(timeline.read(0, 1).more);
}

#[test]
fn an_event_after_receiving_a_message_has_a_later_clock_than_the_send() {
    let (sender_clock, receiver_clock) = (peer::Clock::default(), peer::Clock::default());
    // The sender's clock is far ahead.
    sender_clock.merge(4_000_000_000_000_000);
    let (sender, receiver) =
        (timeline("entry-1", 1, &sender_clock), timeline("entry-2", 2, &receiver_clock));
    sender.record(None, "sent", "");
    receiver_clock.merge(sender_clock.now());
    receiver.record(None, "received", "");
    assert!(receiver.read(0, 1).events[0].clock > sender.read(0, 1).events[0].clock);
}
