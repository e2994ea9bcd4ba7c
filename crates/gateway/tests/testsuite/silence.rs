//! Endpoints that fall silent and go on, while another endpoint cannot replace their answers.

use std::{thread, time::Duration};

use trefoildyke_decide::gateway::RosterEntry;

use crate::harness::{Caller, Endpoint, Reply, Step, TestGateway};

/// Longer than a stream may be silent, and than an answer may take, before another endpoint is asked.
const SILENCE: Step = Step::Pause(Duration::from_millis(2_000));

const FOREVER: Step = Step::Pause(Duration::from_secs(30));

fn failing_replacements() -> Vec<Vec<Step>> {
    vec![
        vec![Step::NotRun],
        vec![Step::Close],
        vec![Step::Reset],
        vec![Step::Status(500)],
        vec![Step::Raw("garbage\r\n\r\n")],
        vec![FOREVER],
    ]
}

/// A gateway whose routes allow as much time as the deadlines of the callers.
fn start_gateway() -> TestGateway {
    let gateway = TestGateway::start(&[]);
    gateway.reconfigure(2, |config| {
        for route in &mut config.routes {
            route.timeout_ms = 4_000;
        }
    });
    gateway
}

/// List entries for two endpoints of which the first one is preferred.
fn list(first: &Endpoint, second: &Endpoint, slots: u32) -> Vec<RosterEntry> {
    let mut entries = crate::harness::entries(&[first, second]);
    entries[1].zone = "b".into();
    for entry in &mut entries {
        entry.slots = slots;
    }
    entries
}

/// Sends a request whose first endpoint follows `first` and whose second one follows `replacement`.
fn send(line: &str, first: &[Step], replacement: &[Step]) -> (Reply, usize) {
    let first = Endpoint::start(vec![first.to_vec()]);
    let second = Endpoint::start(vec![replacement.to_vec()]);
    let gateway = start_gateway();
    gateway.feed.set_endpoints(list(&first, &second, 4));
    let reply = gateway.request(line).unwrap();
    (reply, second.requests().len())
}

/// Runs one check for each way in which a replacement fails, all at the same time.
fn for_each_replacement(replacements: &[Vec<Step>], check: impl Fn(&[Step]) + Sync) {
    thread::scope(|scope| {
        for replacement in replacements {
            scope.spawn(|| check(replacement));
        }
    });
}

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A stream that falls silent between its two events.
const SILENT_STREAM: [Step; 5] = [
    Step::Stream,
    Step::Events("id: 1\ndata: a\n\n"),
    SILENCE,
    Step::Events("id: 2\ndata: b\n\n"),
    Step::EndStream,
];

#[test]
fn a_silent_stream_is_not_aborted_when_its_replacement_fails() {
    let mut replacements = failing_replacements();
    replacements.push(vec![Step::Stream, Step::Reset]);
    replacements.push(vec![Step::Stream, Step::Raw("garbage\r\n")]);
    for_each_replacement(&replacements, |replacement| {
        let (reply, sent) = send("POST /resume/", &SILENT_STREAM, replacement);
        assert_eq!((reply.body.as_str(), reply.is_complete), (EVENTS, true), "{replacement:?}");
        assert_eq!(sent, 1, "{replacement:?}");
    });
}

#[test]
fn a_late_answer_is_not_given_up_when_its_replacement_fails() {
    let mut replacements = failing_replacements();
    replacements.push(vec![
        Step::Raw(
            "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
             Content-Length: 20\r\n\r\ncut",
        ),
        Step::Close,
    ]);
    for_each_replacement(&replacements, |replacement| {
        let (reply, sent) = send("GET /again/", &[SILENCE, Step::Answer("late")], replacement);
        assert_eq!((reply.status, reply.body.as_str()), (200, "late"), "{replacement:?}");
        assert_eq!(sent, 1, "{replacement:?}");
    });
}

#[test]
fn a_stream_with_a_late_head_is_not_given_up_when_its_replacement_fails() {
    let first = [&[SILENCE], &SILENT_STREAM[..2], &SILENT_STREAM[3..]].concat();
    for_each_replacement(&failing_replacements(), |replacement| {
        let (reply, sent) = send("POST /resume/", &first, replacement);
        assert_eq!((reply.body.as_str(), reply.is_complete), (EVENTS, true), "{replacement:?}");
        assert_eq!(sent, 1, "{replacement:?}");
    });
}

/// The other endpoint has one slot, which another request holds.
#[test]
fn a_silent_answer_is_not_given_up_when_no_other_slot_is_free() {
    let whole = [SILENCE, Step::Answer("late")];
    let streamed = [&[SILENCE], &SILENT_STREAM[..2], &SILENT_STREAM[3..]].concat();
    let cases: [(&str, &[Step], &str); 3] = [
        ("POST /resume/", &SILENT_STREAM, EVENTS),
        ("POST /resume/", &streamed, EVENTS),
        ("GET /again/", &whole, "late"),
    ];
    thread::scope(|scope| {
        for (line, script, body) in cases {
            scope.spawn(move || {
                let first = Endpoint::start(vec![script.to_vec()]);
                let second = Endpoint::start(vec![vec![Step::Hold]]);
                let gateway = start_gateway();
                let _busy = occupy_second(&gateway, &first, &second);
                let reply = gateway.request(line);
                let reply = reply.unwrap();
                assert_eq!((reply.body.as_str(), reply.is_complete), (body, true), "{script:?}");
                assert_eq!(second.requests().len(), 1, "{script:?}");
            });
        }
    });
}

/// Holds the only slot of the second endpoint with a request of its own, then lists the first one as well.
fn occupy_second(gateway: &TestGateway, first: &Endpoint, second: &Endpoint) -> Caller {
    gateway.feed.set_endpoints(list(first, second, 1).split_off(1));
    let mut caller = gateway.caller();
    let headers = [("trefoildyke-request-id", "busy"), ("trefoildyke-key", "k1")];
    caller.send("POST /stream/", &headers, "");
    TestGateway::wait_until("the second endpoint is busy", || second.requests().len() == 1);
    gateway.feed.set_endpoints(list(first, second, 1));
    caller
}

/// Guards against passing on events of the replacement as well, once the silent endpoint goes on.
#[test]
fn a_silent_stream_that_goes_on_first_is_the_one_that_is_passed_on() {
    let late = vec![FOREVER, Step::Stream, Step::Events("id: 9\n\n"), Step::EndStream];
    let first = Endpoint::start(vec![SILENT_STREAM.to_vec()]);
    let second = Endpoint::start(vec![late]);
    let gateway = start_gateway();
    gateway.feed.set_endpoints(list(&first, &second, 4));
    let reply = gateway.request("POST /resume/");
    assert_eq!(reply.unwrap().body, EVENTS);
    assert_eq!((first.requests().len(), second.requests().len()), (1, 1));
}

/// The replacement takes over from the last event that was passed on, and the silent endpoint is left.
#[test]
fn the_replacement_of_a_silent_stream_is_used_once_its_first_event_has_come() {
    let silent = vec![Step::Stream, Step::Events("id: 1\ndata: a\n\nid: 2\nda"), Step::AwaitClose];
    let rest = vec![
        Step::Stream,
        Step::Pause(Duration::from_millis(100)),
        Step::Events("id: 2\ndata: b\n\n"),
        Step::EndStream,
    ];
    let (first, second) = (Endpoint::start(vec![silent]), Endpoint::start(vec![rest]));
    let gateway = start_gateway();
    gateway.feed.set_endpoints(list(&first, &second, 4));
    let reply = gateway.request("POST /resume/");
    let reply = reply.unwrap();
    assert_eq!((reply.body.as_str(), reply.is_complete), (EVENTS, true));
    assert!(second.requests()[0].to_ascii_lowercase().contains("last-event-id: 1"));
    TestGateway::wait_until("the silent endpoint is left", || first.closed() == 1);
}

/// A replacement in progress is kept when the silent endpoint breaks off.
#[test]
fn a_silent_answer_that_breaks_off_is_replaced() {
    let slow = Step::Pause(Duration::from_millis(800));
    let rest = [std::slice::from_ref(&slow), &SILENT_STREAM[..1], &SILENT_STREAM[3..]].concat();
    let broken = [&SILENT_STREAM[..3], &[Step::Reset]].concat();
    let (reply, sent) = send("POST /resume/", &broken, &rest);
    assert_eq!((reply.body.as_str(), reply.is_complete, sent), (EVENTS, true, 1));
    let whole = [slow, Step::Answer("second")];
    let (reply, sent) = send("GET /again/", &[SILENCE, Step::Reset], &whole);
    assert_eq!((reply.status, reply.body.as_str(), sent), (200, "second", 1));
}

/// Guards against a silent stream for which another endpoint is looked for only once.
#[test]
fn a_silent_stream_is_resumed_at_an_endpoint_that_is_listed_later() {
    let silent = vec![Step::Stream, Step::Events("id: 1\ndata: a\n\n"), Step::AwaitClose];
    let rest = vec![Step::Stream, Step::Events("id: 2\ndata: b\n\n"), Step::EndStream];
    let (first, second) = (Endpoint::start(vec![silent]), Endpoint::start(vec![rest]));
    let gateway = TestGateway::start(&[]);
    gateway.reconfigure(2, |config| config.routes[3].timeout_ms = 8_000);
    gateway.feed.set_endpoints(list(&first, &second, 4).drain(..1).collect());
    let mut caller = gateway.caller();
    let headers = [("trefoildyke-request-id", "r1"), ("trefoildyke-key", "k1")];
    caller.send("POST /resume/", &headers, "");
    assert!(caller.read_first_event().contains("data: a"));
    thread::sleep(Duration::from_millis(2_000));
    gateway.feed.set_endpoints(list(&first, &second, 4));
    let reply = caller.read_reply().unwrap();
    assert_eq!((reply.body.as_str(), reply.is_complete), (EVENTS, true));
}

/// Guards against a second send of a request whose answer is on its way.
#[test]
fn an_answer_that_has_begun_is_not_asked_for_again() {
    let head = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
                Content-Length: 10\r\n\r\nfirst";
    let slow = [Step::Raw(head), SILENCE, Step::Raw("whole")];
    let (reply, sent) = send("GET /again/", &slow, &[Step::Answer("second")]);
    assert_eq!((reply.status, reply.body.as_str(), sent), (200, "firstwhole", 0));
}
