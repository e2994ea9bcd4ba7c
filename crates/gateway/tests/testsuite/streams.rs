//! Streams of events.

use std::time::Duration;

use crate::harness::{Endpoint, Stack, Step};

#[test]
fn events_come_as_they_are_made_and_the_end_is_whole() {
    let endpoint = Endpoint::start(vec![vec![
        Step::Stream,
        Step::Events("id: 1\ndata: a\n\n"),
        Step::Pause(Duration::from_millis(300)),
        Step::Events("id: 2\ndata: b\n\n"),
        Step::EndStream,
    ]]);
    let stack = Stack::start(&[&endpoint]);
    let mut caller = stack.caller();
    let begun = std::time::Instant::now();
    caller.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    assert!(caller.first_part().contains("data: a"));
    assert!(begun.elapsed() < Duration::from_millis(250), "the first event was held back");
    let reply = caller.reply().unwrap();
    assert_eq!(reply.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(reply.whole);
    assert_eq!(reply.header("trefoildyke-seal"), Some("sealed-r"));
}

#[test]
fn a_stream_that_breaks_never_looks_complete() {
    for broken in [Step::Close, Step::Reset] {
        let script = vec![Step::Stream, Step::Events("id: 1\n\n"), broken];
        let endpoint = Endpoint::start(vec![script]);
        let stack = Stack::start(&[&endpoint]);
        let reply = stack.ask("POST /stream/").unwrap();
        assert_eq!((reply.status, reply.whole), (200, false));
        assert_eq!(endpoint.seen().len(), 1);
    }
}

#[test]
fn an_end_in_the_middle_of_an_event_is_not_complete() {
    let script = vec![Step::Stream, Step::Events("id: 1\n\nid: 2\nda"), Step::EndStream];
    let endpoint = Endpoint::start(vec![script]);
    let stack = Stack::start(&[&endpoint]);
    let reply = stack.ask("POST /stream/").unwrap();
    assert_eq!((reply.body.as_str(), reply.whole), ("id: 1\n\n", false));
}

fn resumed(first: Vec<Step>) -> (crate::harness::Reply, Endpoint, Endpoint) {
    let rest = vec![Step::Stream, Step::Events("id: 3\ndata: c\n\n"), Step::EndStream];
    let (first, second) = (Endpoint::start(vec![first]), Endpoint::start(vec![rest]));
    let stack = Stack::start(&[]);
    let mut entries = crate::harness::entries(&[&first, &second]);
    entries[1].zone = "b".into();
    stack.feed.endpoints(entries);
    let reply = stack.ask("POST /resume/").unwrap();
    (reply, first, second)
}

#[test]
fn a_resumable_stream_goes_on_at_another_endpoint_after_its_last_whole_event() {
    for broken in [Step::Close, Step::Reset] {
        let (reply, first, second) = resumed(vec![
            Step::Stream,
            Step::Events("id: 1\ndata: a\n\n"),
            Step::Events("id: 2\ndata: b\n\nid: 3\nda"),
            broken,
        ]);
        assert_eq!(reply.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assert!(reply.whole);
        assert_eq!(first.seen().len(), 1);
        let again = second.seen().remove(0).to_ascii_lowercase();
        assert!(again.contains("last-event-id: 2"), "{again}");
        assert!(again.contains("trefoildyke-endpoint: e1"), "{again}");
    }
}

#[test]
fn a_resumable_stream_that_falls_silent_goes_on_elsewhere_and_leaves_the_first_endpoint() {
    let silent = Step::Pause(Duration::from_secs(30));
    let (reply, first, second) =
        resumed(vec![Step::Stream, Step::Events("id: 1\ndata: a\n\nid: 2\n\n"), silent]);
    assert!(reply.whole, "{reply:?}");
    assert_eq!((first.seen().len(), second.seen().len()), (1, 1));
}

#[test]
fn a_stream_is_cut_at_the_timeout_of_its_route() {
    let pause = Step::Pause(Duration::from_secs(30));
    let endpoint = Endpoint::start(vec![vec![Step::Stream, Step::Events("id: 1\n\n"), pause]]);
    let stack = Stack::start(&[&endpoint]);
    stack.reconfigure(2, |config| config.routes[2].timeout_ms = 400);
    let begun = std::time::Instant::now();
    let reply = stack.ask("POST /stream/").unwrap();
    assert!(!reply.whole);
    assert!(begun.elapsed() < Duration::from_millis(900));
}

/// Silence is waited out if the retry budget does not pay for another endpoint.
#[test]
fn a_silent_stream_that_may_not_be_sent_again_is_not_given_up() {
    let endpoint = Endpoint::start(vec![vec![
        Step::Stream,
        Step::Events("id: 1\n\n"),
        Step::Pause(Duration::from_millis(1_800)),
        Step::Events("id: 2\n\n"),
        Step::EndStream,
    ]]);
    let stack = Stack::bare(|settings| {
        settings.retry_ratio = 0.0;
        settings.retry_fixed = 0.0;
    });
    stack.believe(&[&endpoint]);
    stack.reconfigure(2, |config| config.routes[3].timeout_ms = 4_000);
    let reply = stack.ask_with("POST /resume/", &[]).unwrap();
    assert_eq!((reply.body.as_str(), reply.whole), ("id: 1\n\nid: 2\n\n", true));
}
