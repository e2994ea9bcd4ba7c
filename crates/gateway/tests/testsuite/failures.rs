//! The answers and repeated sends after each way in which a send can fail.

use std::time::Duration;

use crate::harness::{Endpoint, Step, TestGateway};

fn start_endpoints(first: Vec<Step>) -> (Endpoint, Endpoint) {
    (Endpoint::start(vec![first]), Endpoint::start(vec![vec![Step::Answer("second")]]))
}

/// Sends a request to two endpoints, the first of which follows `script`. Returns the status of the answer
/// and the number of requests at each endpoint.
fn send_to_two(line: &str, script: Vec<Step>) -> (u16, usize, usize) {
    let (first, second) = start_endpoints(script);
    let gateway = TestGateway::start(&[&first, &second]);
    // Puts the second endpoint in another zone, so that the first one is preferred.
    let mut entries = crate::harness::entries(&[&first, &second]);
    entries[1].zone = "b".into();
    gateway.feed.set_endpoints(entries);
    let reply = gateway.request(line).unwrap();
    (reply.status, first.requests().len(), second.requests().len())
}

#[test]
fn a_request_that_may_have_run_is_neither_refused_nor_sent_again() {
    for script in [
        vec![Step::Close],
        vec![Step::Reset],
        vec![Step::Raw("garbage\r\n\r\n")],
        vec![Step::Raw("HTTP/1.1 200 OK\r\n"), Step::Close],
        vec![Step::Raw("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")],
        vec![Step::Raw(
            "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: other\r\ntrefoildyke-seal: s\r\n\
             Content-Length: 2\r\n\r\nno",
        )],
        vec![
            Step::Raw(
                "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
             Content-Length: 20\r\n\r\ncut",
            ),
            Step::Close,
        ],
        vec![Step::Raw("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")],
        vec![Step::Raw("HTTP/1.1 429 Full\r\nContent-Length: 0\r\n\r\n")],
    ] {
        let shown = format!("{script:?}");
        assert_eq!(send_to_two("POST /once/", script), (502, 1, 0), "{shown}");
    }
}

#[test]
fn a_rejected_request_is_sent_to_another_endpoint() {
    let misdirected = vec![Step::Raw("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")];
    for script in [vec![Step::NotRun], misdirected] {
        assert_eq!(send_to_two("POST /once/", script), (200, 1, 1));
    }
}

#[test]
fn an_idempotent_request_is_sent_again_after_any_failure() {
    for script in [
        vec![Step::Close],
        vec![Step::Status(500)],
        vec![Step::Raw("garbage\r\n\r\n")],
        vec![
            Step::Raw(
                "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
             Content-Length: 20\r\n\r\ncut",
            ),
            Step::Close,
        ],
        vec![Step::Pause(Duration::from_secs(30))],
    ] {
        let shown = format!("{script:?}");
        assert_eq!(send_to_two("GET /again/", script), (200, 1, 1), "{shown}");
    }
}

/// Guards against 502 for an answer that takes half of the request's time.
#[test]
fn a_late_answer_that_no_other_endpoint_can_give_is_waited_for() {
    let slow = Step::Pause(Duration::from_millis(2_000));
    let endpoint = Endpoint::start(vec![vec![slow, Step::Answer("late")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| config.routes[1].timeout_ms = 4_000);
    let reply = gateway.request("GET /again/").unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "late"));
    assert_eq!(endpoint.requests().len(), 1);
}

#[test]
fn the_last_error_answer_is_forwarded_with_its_seal() {
    let failing = || Endpoint::start(vec![vec![Step::Status(500)]]);
    let (first, second) = (failing(), failing());
    let gateway = TestGateway::start(&[&first, &second]);
    let reply = gateway.request("GET /again/").unwrap();
    assert_eq!(reply.status, 500);
    assert_eq!(reply.header("trefoildyke-seal"), Some("sealed-r1"));
    assert_eq!(first.requests().len() + second.requests().len(), 2);
}

#[test]
fn an_unreachable_endpoint_is_skipped() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    let mut entries = crate::harness::entries(&[&endpoint, &endpoint]);
    entries[0].address = gone;
    entries[1].zone = "b".into();
    gateway.feed.set_endpoints(entries);
    assert_eq!(gateway.request("POST /once/").unwrap().status, 200);
}

#[test]
fn requests_without_listed_endpoints_are_refused_with_retry_after() {
    let gateway = TestGateway::start(&[]);
    gateway.reconfigure(2, |config| config.routes[0].timeout_ms = 400);
    let reply = gateway.request("POST /once/").unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
}

/// An answer that belongs to no request, with the id of the request before it.
const EXTRA: Step = Step::Raw(
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
     Content-Length: 5\r\n\r\nextra",
);

#[test]
fn an_extra_answer_on_a_connection_is_discarded() {
    let endpoint = Endpoint::start(vec![
        vec![Step::Answer("first"), Step::Hold, EXTRA],
        vec![Step::Answer("second")],
    ]);
    let gateway = TestGateway::start(&[&endpoint]);
    assert_eq!(gateway.request("GET /again/").unwrap().body, "first");
    endpoint.release_one();
    TestGateway::wait_until("the connection ends", || endpoint.closed() == 1);
    let reply = gateway.request("GET /again/").unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "second"));
}

/// The next request is on its way on the same connection when the extra answer comes, which only its id tells
/// from the right one.
#[test]
fn an_extra_answer_is_not_taken_for_that_of_the_next_request() {
    let (first, second) = start_endpoints(vec![Step::Answer("first"), Step::Hold, EXTRA]);
    let gateway = TestGateway::start(&[&first, &second]);
    let mut entries = crate::harness::entries(&[&first, &second]);
    entries[1].zone = "b".into();
    gateway.feed.set_endpoints(entries);
    assert_eq!(gateway.request("GET /again/").unwrap().body, "first");
    let mut caller = gateway.caller();
    caller.send("GET /again/", &[("trefoildyke-request-id", "r2"), ("trefoildyke-key", "k1")], "");
    // The endpoint reads the request only after it is released. If the request were still unsent by then, the
    // connection would end first.
    std::thread::sleep(Duration::from_millis(200));
    first.release_one();
    let reply = caller.read_reply().unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "second"));
}

#[test]
fn an_answer_without_length_is_complete_on_close_but_not_on_reset() {
    let head = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
                Connection: close\r\n\r\nall of it";
    let ends = send_to_two("POST /once/", vec![Step::Raw(head), Step::Close]);
    assert_eq!(ends, (200, 1, 0));
    let pause = Step::Pause(Duration::from_millis(100));
    let resets = send_to_two("POST /once/", vec![Step::Raw(head), pause, Step::Reset]);
    assert_eq!(resets, (502, 1, 0));
}
