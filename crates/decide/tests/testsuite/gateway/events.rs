//! Splitting streams into complete events.

use bytes::Bytes;
use proptest::prelude::*;
use trefoildyke_decide::gateway::{EventSplitter, EventTooLong};

/// Pushes a stream in pieces of these lengths. Returns the complete events and the splitter.
fn feed(stream: &str, lengths: &[usize]) -> (String, EventSplitter) {
    let mut events = EventSplitter::default();
    let mut complete = String::new();
    let mut rest = stream;
    let mut lengths = lengths.iter().cycle();
    while !rest.is_empty() {
        let length = (*lengths.next().unwrap()).clamp(1, rest.len());
        let (piece, after) = rest.split_at(length);
        if let Some(whole) = events.push(Bytes::copy_from_slice(piece.as_bytes())).unwrap() {
            complete.push_str(std::str::from_utf8(&whole).unwrap());
        }
        rest = after;
    }
    (complete, events)
}

#[test]
fn an_event_that_does_not_end_is_an_error() {
    let mut events = EventSplitter::default();
    let piece = Bytes::from(vec![b'x'; 64 << 10]);
    let mut pushed = (0..10).map(|_| events.push(piece.clone()));
    assert!(pushed.any(|pushed| pushed == Err(EventTooLong)));
}

#[test]
fn a_stream_that_brings_no_new_id_is_an_error() {
    for events in ["data: x\n\n", ": x\n\n", "\n\n", "\r\n\r\n", "id: 1\ndata: x\n\n", "id\n\n"] {
        let mut splitter = EventSplitter::default();
        let piece = Bytes::from(events.repeat((64 << 10) / events.len()));
        let mut pushed = (0..10).map(|_| splitter.push(piece.clone()));
        assert!(pushed.any(|pushed| pushed == Err(EventTooLong)), "{events}");
    }
}

#[test]
fn a_long_stream_with_comments_between_its_events_passes() {
    let mut splitter = EventSplitter::default();
    let comments = ": x\n\n".repeat(10_000);
    for id in 0..100 {
        let piece = format!("{comments}id: {id}\ndata: x\n\n");
        assert_eq!(splitter.push(Bytes::from(piece.clone())), Ok(Some(Bytes::from(piece))));
    }
}

#[test]
fn the_id_of_the_last_whole_event_is_known() {
    let (complete, events) = feed("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\nda", &[5]);
    assert_eq!(complete, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
    assert_eq!(events.last(), Some("2"));
    assert!(events.has_partial());
}

proptest! {
    #[test]
    fn complete_events_pass_in_order_however_a_stream_is_cut(
        count in 1_usize..20,
        data in "[a-z:]{0,40}",
        lengths in proptest::collection::vec(1_usize..60, 1..8),
        tail in "[a-z]{0,10}",
    ) {
        let whole: String = (1..=count).map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
        let (complete, events) = feed(&format!("{whole}{tail}"), &lengths);
        prop_assert_eq!(complete, whole);
        prop_assert_eq!(events.has_partial(), !tail.is_empty());
        let last = count.to_string();
        prop_assert_eq!(events.last(), Some(last.as_str()));
    }

    #[test]
    fn no_input_causes_a_panic(pieces in proptest::collection::vec(any::<Vec<u8>>(), 0..12)) {
        let mut events = EventSplitter::default();
        for piece in pieces {
            let _ = events.push(Bytes::from(piece));
        }
    }
}
