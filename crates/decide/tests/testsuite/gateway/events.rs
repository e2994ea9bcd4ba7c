//! Cutting streams into whole events.

use bytes::Bytes;
use proptest::prelude::*;
use trefoildyke_decide::gateway::{EventTooLong, Events};

/// Feeds a stream in pieces of these lengths; returns what was passed on, and the parser.
fn feed(stream: &str, lengths: &[usize]) -> (String, Events) {
    let mut events = Events::default();
    let mut passed = String::new();
    let mut rest = stream;
    let mut lengths = lengths.iter().cycle();
    while !rest.is_empty() {
        let length = (*lengths.next().unwrap()).clamp(1, rest.len());
        let (piece, after) = rest.split_at(length);
        if let Some(whole) = events.push(Bytes::copy_from_slice(piece.as_bytes())).unwrap() {
            passed.push_str(std::str::from_utf8(&whole).unwrap());
        }
        rest = after;
    }
    (passed, events)
}

#[test]
fn an_event_that_does_not_end_is_an_error_and_not_kept_for_ever() {
    let mut events = Events::default();
    let piece = Bytes::from(vec![b'x'; 64 << 10]);
    let mut pushed = (0..10).map(|_| events.push(piece.clone()));
    assert!(pushed.any(|pushed| pushed == Err(EventTooLong)));
}

#[test]
fn the_id_of_the_last_whole_event_is_known() {
    let (passed, events) = feed("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda", &[5]);
    assert_eq!(passed, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    assert_eq!(events.last(), Some("2"));
    assert!(events.is_cut());
}

proptest! {
    #[test]
    fn however_a_stream_is_cut_whole_events_pass_in_order(
        count in 1_usize..20,
        data in "[a-z:]{0,40}",
        lengths in proptest::collection::vec(1_usize..60, 1..8),
        tail in "[a-z]{0,10}",
    ) {
        let whole: String = (1..=count).map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
        let (passed, events) = feed(&format!("{whole}{tail}"), &lengths);
        prop_assert_eq!(passed, whole);
        prop_assert_eq!(events.is_cut(), !tail.is_empty());
        let last = count.to_string();
        prop_assert_eq!(events.last(), Some(last.as_str()));
    }

    #[test]
    fn no_bytes_make_it_panic(pieces in proptest::collection::vec(any::<Vec<u8>>(), 0..12)) {
        let mut events = Events::default();
        for piece in pieces {
            let _ = events.push(Bytes::from(piece));
        }
    }
}
