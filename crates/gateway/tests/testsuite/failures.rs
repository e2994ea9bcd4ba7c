//! What is told and done after each point at which a send can break.

use std::time::Duration;

use crate::harness::{Endpoint, Stack, Step};

fn two(first: Vec<Step>) -> (Endpoint, Endpoint) {
    (Endpoint::start(vec![first]), Endpoint::start(vec![vec![Step::Answer("second")]]))
}

/// Asks on a route while only the first endpoint is listed, then lists both.
fn status(line: &str, script: Vec<Step>) -> (u16, usize, usize) {
    let (first, second) = two(script);
    let stack = Stack::start(&[&first, &second]);
    // Makes the second endpoint the dearer choice.
    let mut entries = crate::harness::entries(&[&first, &second]);
    entries[1].zone = "b".into();
    stack.feed.endpoints(entries);
    let reply = stack.ask(line).unwrap();
    (reply.status, first.seen().len(), second.seen().len())
}

#[test]
fn a_request_that_may_have_run_is_never_refused_nor_sent_again() {
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
        assert_eq!(status("POST /once/", script), (502, 1, 0), "{shown}");
    }
}

#[test]
fn a_request_that_an_endpoint_rejected_goes_to_another() {
    let misdirected = vec![Step::Raw("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")];
    for script in [vec![Step::NotRun], misdirected] {
        assert_eq!(status("POST /once/", script), (200, 1, 1));
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
        assert_eq!(status("GET /again/", script), (200, 1, 1), "{shown}");
    }
}

#[test]
fn the_last_failure_of_the_endpoints_is_passed_on_with_its_seal() {
    let failing = || Endpoint::start(vec![vec![Step::Status(500)]]);
    let (first, second) = (failing(), failing());
    let stack = Stack::start(&[&first, &second]);
    let reply = stack.ask("GET /again/").unwrap();
    assert_eq!(reply.status, 500);
    assert_eq!(reply.header("trefoildyke-seal"), Some("sealed-r1"));
    assert_eq!(first.seen().len() + second.seen().len(), 2);
}

#[test]
fn an_endpoint_that_cannot_be_reached_is_passed_over() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    let mut entries = crate::harness::entries(&[&endpoint, &endpoint]);
    entries[0].address = gone;
    entries[1].zone = "b".into();
    stack.feed.endpoints(entries);
    assert_eq!(stack.ask("POST /once/").unwrap().status, 200);
}

#[test]
fn nothing_listed_is_a_truthful_refusal_with_a_time_to_come_back() {
    let stack = Stack::start(&[]);
    stack.reconfigure(2, |config| config.routes[0].timeout_ms = 400);
    let reply = stack.ask("POST /once/").unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn a_second_answer_on_a_connection_is_nobodys() {
    let extra = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
                 Content-Length: 5\r\n\r\nextra";
    let endpoint = Endpoint::start(vec![
        vec![Step::Answer("first"), Step::Pause(Duration::from_millis(50)), Step::Raw(extra)],
        vec![Step::Answer("second")],
    ]);
    let stack = Stack::start(&[&endpoint]);
    assert_eq!(stack.ask("GET /again/").unwrap().body, "first");
    std::thread::sleep(Duration::from_millis(150));
    let reply = stack.ask_with("GET /again/", &[]).unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "second"));
}

#[test]
fn an_answer_without_length_is_whole_if_its_connection_ends_and_not_if_it_is_reset() {
    let head = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
                Connection: close\r\n\r\nall of it";
    let ends = status("POST /once/", vec![Step::Raw(head), Step::Close]);
    assert_eq!(ends, (200, 1, 0));
    let pause = Step::Pause(Duration::from_millis(100));
    let resets = status("POST /once/", vec![Step::Raw(head), pause, Step::Reset]);
    assert_eq!(resets, (502, 1, 0));
}
