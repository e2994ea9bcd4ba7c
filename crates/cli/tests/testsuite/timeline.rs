//! Merging of the events of several daemons.

use trefoildyke_cli::timeline;
use trefoildyke_types::{event, id};

fn event(host: u64, seq: u64, clock: u64, time_us: u64) -> event::Event {
    event::Event {
        time_us,
        host: id::HostName::new(&format!("h{host}")),
        incarnation: id::Incarnation::from_u64(host),
        seq,
        clock,
        key: None,
        kind: format!("{host}.{seq}"),
        detail: String::new(),
    }
}

#[test]
fn merge_keeps_causal_order_despite_wall_clock_skew() {
    // The wall clock of host 2 is far behind: its event at clock 3 answers the event of host 1 at clock 2.
    let events = vec![
        event(2, 1, 1, 10),
        event(2, 2, 3, 20),
        event(1, 1, 1, 1_000),
        event(1, 2, 2, 1_100),
        event(1, 3, 4, 1_200),
        event(1, 2, 2, 1_100),
    ];
    let kinds: Vec<_> = timeline::merge(events).into_iter().map(|event| event.kind).collect();
    assert_eq!(kinds, ["2.1", "1.1", "1.2", "2.2", "1.3"]);
}
