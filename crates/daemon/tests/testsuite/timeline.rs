use trefoildyke_daemon::timeline;
use trefoildyke_types::id;
use trefoildyke_wire::operators::message;

fn timeline(host: &str, number: u64) -> timeline::Handle {
    timeline::Handle::new(host.into(), id::Incarnation::from_u64(number), 3)
}

#[test]
fn the_oldest_events_go_first_and_positions_stay() {
    let line = timeline("entry-1", 1);
    for detail in ["a", "b", "c", "d"] {
        line.record(None, "tested", detail);
    }
    let page = line.read(0, 10);
    let details: Vec<_> = page.events.iter().map(|event| event.detail.as_str()).collect();
    assert_eq!(details, ["b", "c", "d"]);
    assert_eq!((page.events[0].seq, page.next), (2, 4));
    let page = line.read(3, 10);
    assert_eq!((page.events.len(), page.next), (1, 4));
    let end = message::EventPage { events: vec![], next: 4, more: false };
    assert_eq!(line.read(4, 10), end);
    assert!(line.read(0, 1).more);
}

#[test]
fn an_event_after_a_message_is_later_than_the_one_before_it() {
    let (here, there) = (timeline("entry-1", 1), timeline("entry-2", 2));
    // The wall clock at `here` is an hour ahead.
    here.merge(here.clock() + 3_600_000_000 + 4_000_000_000_000_000);
    here.record(None, "sent", "");
    there.merge(here.clock());
    there.record(None, "received", "");
    assert!(there.read(0, 1).events[0].clock > here.read(0, 1).events[0].clock);
}
