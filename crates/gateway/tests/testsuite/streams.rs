//! Streams of events.

use std::time::Duration;

use crate::harness::{Endpoint, Step, TestGateway};

#[test]
fn events_are_forwarded_at_once_and_the_stream_ends_complete() {
    let endpoint = Endpoint::start(vec![vec![
        Step::Stream,
        Step::Events("id: 1\ndata: a\n\n"),
        Step::Pause(Duration::from_millis(300)),
        Step::Events("id: 2\ndata: b\n\n"),
        Step::EndStream,
    ]]);
    let gateway = TestGateway::start(&[&endpoint]);
    let mut caller = gateway.caller();
    let started = std::time::Instant::now();
    caller.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    assert!(caller.read_first_event().contains("data: a"));
    assert!(started.elapsed() < Duration::from_millis(250), "the first event was held back");
    let reply = caller.read_reply().unwrap();
    assert_eq!(reply.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(reply.is_complete);
    assert_eq!(reply.header("trefoildyke-seal"), Some("sealed-r"));
}

#[test]
fn a_broken_stream_never_looks_complete() {
    for broken in [Step::Close, Step::Reset] {
        let script = vec![Step::Stream, Step::Events("id: 1\n\n"), broken];
        let endpoint = Endpoint::start(vec![script]);
        let gateway = TestGateway::start(&[&endpoint]);
        let reply = gateway.request("POST /stream/").unwrap();
        assert_eq!((reply.status, reply.is_complete), (200, false));
        assert_eq!(endpoint.requests().len(), 1);
    }
}

/// The head of a stream without a length or chunks, which ends with its connection.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\n\
     trefoildyke-seal: sealed-{id}\r\nContent-Type: text/event-stream\r\n\r\n";

#[test]
fn a_stream_without_framing_that_ends_before_its_first_event_is_incomplete() {
    for (events, is_complete) in [("", false), ("id: 1\ndata: a\n\n", true)] {
        let script = vec![Step::Raw(UNFRAMED), Step::Raw(events), Step::Close];
        let endpoint = Endpoint::start(vec![script]);
        let gateway = TestGateway::start(&[&endpoint]);
        let reply = gateway.request("POST /stream/");
        assert_eq!(reply.is_some_and(|reply| reply.is_complete), is_complete, "{events}");
    }
}

#[test]
fn a_stream_that_ends_within_an_event_is_incomplete() {
    let script = vec![Step::Stream, Step::Events("id: 1\n\nid: 2\nda"), Step::EndStream];
    let endpoint = Endpoint::start(vec![script]);
    let gateway = TestGateway::start(&[&endpoint]);
    let reply = gateway.request("POST /stream/").unwrap();
    assert_eq!((reply.body.as_str(), reply.is_complete), ("id: 1\n\n", false));
}

fn send_resumable(first: Vec<Step>) -> (crate::harness::Reply, Endpoint, Endpoint) {
    let rest = vec![Step::Stream, Step::Events("id: 3\ndata: c\n\n"), Step::EndStream];
    let (first, second) = (Endpoint::start(vec![first]), Endpoint::start(vec![rest]));
    let gateway = TestGateway::start(&[]);
    let mut entries = crate::harness::entries(&[&first, &second]);
    entries[1].zone = "b".into();
    gateway.feed.set_endpoints(entries);
    let reply = gateway.request("POST /resume/").unwrap();
    (reply, first, second)
}

#[test]
fn a_resumable_stream_is_resumed_after_its_last_complete_event() {
    for broken in [Step::Close, Step::Reset] {
        let (reply, first, second) = send_resumable(vec![
            Step::Stream,
            Step::Events("id: 1\ndata: a\n\n"),
            Step::Events("id: 2\ndata: b\n\nid: 3\nda"),
            broken,
        ]);
        assert_eq!(reply.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        assert!(reply.is_complete);
        assert_eq!(first.requests().len(), 1);
        let again = second.requests().remove(0).to_ascii_lowercase();
        assert!(again.contains("last-event-id: 2"), "{again}");
        assert!(again.contains("trefoildyke-endpoint: e1"), "{again}");
    }
}

#[test]
fn a_silent_resumable_stream_is_resumed_at_another_endpoint() {
    let silent = Step::Pause(Duration::from_secs(30));
    let (reply, first, second) =
        send_resumable(vec![Step::Stream, Step::Events("id: 1\ndata: a\n\nid: 2\n\n"), silent]);
    assert!(reply.is_complete, "{reply:?}");
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

#[test]
fn a_stream_is_cut_off_at_the_timeout_of_its_route() {
    let pause = Step::Pause(Duration::from_secs(30));
    let endpoint = Endpoint::start(vec![vec![Step::Stream, Step::Events("id: 1\n\n"), pause]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| config.routes[2].timeout_ms = 400);
    let started = std::time::Instant::now();
    let reply = gateway.request("POST /stream/").unwrap();
    assert!(!reply.is_complete);
    assert!(started.elapsed() < Duration::from_millis(900));
}

/// Guards against aborting a silent stream that only its own endpoint can continue.
#[test]
fn a_silent_stream_that_no_other_endpoint_can_resume_is_not_aborted() {
    let endpoint = Endpoint::start(vec![vec![
        Step::Stream,
        Step::Events("id: 1\n\n"),
        Step::Pause(Duration::from_millis(1_800)),
        Step::Events("id: 2\n\n"),
        Step::EndStream,
    ]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| config.routes[3].timeout_ms = 4_000);
    let reply = gateway.request("POST /resume/").unwrap();
    assert!(reply.is_complete, "{reply:?}");
    assert_eq!(endpoint.requests().len(), 1);
}

/// A silent stream is waited for if the retry budget does not allow a resumption.
#[test]
fn a_silent_stream_without_retry_budget_is_not_aborted() {
    let endpoint = Endpoint::start(vec![vec![
        Step::Stream,
        Step::Events("id: 1\n\n"),
        Step::Pause(Duration::from_millis(1_800)),
        Step::Events("id: 2\n\n"),
        Step::EndStream,
    ]]);
    let gateway = TestGateway::unconfigured(|settings| {
        settings.retry_ratio = 0.0;
        settings.retry_allowance = 0.0;
    });
    gateway.configure(&[&endpoint]);
    gateway.reconfigure(2, |config| config.routes[3].timeout_ms = 4_000);
    let reply = gateway.request_with("POST /resume/", &[]).unwrap();
    assert_eq!((reply.body.as_str(), reply.is_complete), ("id: 1\n\nid: 2\n\n", true));
}
