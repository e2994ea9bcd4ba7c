//! Endpoints that say in their answers that they are about to stop.

use std::{thread, time::Duration};

use trefoildyke_decide::gateway::RosterEntry;

use crate::harness::{Endpoint, Step, TestGateway};

const LEAVING: Step = Step::Raw(
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
     trefoildyke-leaving: 1\r\nContent-Length: 7\r\n\r\nleaving",
);

const LEAVING_FAILURE: Step = Step::Raw(
    "HTTP/1.1 500 Failed\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
     trefoildyke-leaving: 1\r\nContent-Length: 0\r\n\r\n",
);

const LEAVING_REJECTION: Step = Step::Raw(
    "HTTP/1.1 503 Full\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-not-run: 1\r\n\
     trefoildyke-leaving: 1\r\nContent-Length: 0\r\n\r\n",
);

const LEAVING_STREAM: Step = Step::Raw(
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
     trefoildyke-leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
);

fn staying() -> Endpoint {
    Endpoint::start(vec![vec![Step::Answer("staying")]])
}

/// List entries for two endpoints of which the first one is preferred.
fn list(first: &Endpoint, second: &Endpoint) -> Vec<RosterEntry> {
    let mut entries = crate::harness::entries(&[first, second]);
    entries[1].zone = "b".into();
    entries
}

fn start_gateway(first: &Endpoint, second: &Endpoint) -> TestGateway {
    let gateway = TestGateway::start(&[]);
    gateway.feed.set_endpoints(list(first, second));
    gateway
}

fn assert_served_by_second(gateway: &TestGateway, first: &Endpoint, sent: usize) {
    for _ in 0..5 {
        assert_eq!(gateway.request("GET /once/").unwrap().body, "staying");
    }
    assert_eq!(first.requests().len(), sent);
}

#[test]
fn an_endpoint_that_says_that_it_leaves_gets_no_new_requests() {
    let stream = vec![LEAVING_STREAM, Step::Events("id: 1\n\n"), Step::EndStream];
    for (line, answer) in [
        ("GET /once/", vec![LEAVING]),
        ("GET /once/", vec![LEAVING_FAILURE]),
        ("GET /once/", vec![LEAVING_REJECTION]),
        ("POST /stream/", stream),
    ] {
        let (first, second) = (Endpoint::start(vec![answer.clone()]), staying());
        let gateway = start_gateway(&first, &second);
        gateway.request(line).unwrap();
        // Longer than an endpoint is left out for a rejection alone.
        thread::sleep(Duration::from_millis(600));
        assert_served_by_second(&gateway, &first, 1);
        TestGateway::wait_until("the idle connection is closed", || first.closed() == 1);
    }
}

/// The list of endpoints cannot be read while its source is away, and entries lapse and return.
#[test]
fn an_endpoint_that_leaves_gets_no_new_requests_after_its_entry_has_returned() {
    let (first, second) = (Endpoint::start(vec![vec![LEAVING]]), staying());
    let gateway = start_gateway(&first, &second);
    assert_eq!(gateway.request("GET /once/").unwrap().body, "leaving");
    gateway.feed.set_endpoints(list(&first, &second).split_off(1));
    assert_served_by_second(&gateway, &first, 1);
    gateway.feed.set_endpoints(list(&first, &second));
    assert_served_by_second(&gateway, &first, 1);
}

#[test]
fn an_endpoint_that_has_started_again_gets_requests_after_it_had_left() {
    let first = Endpoint::start(vec![vec![LEAVING], vec![Step::Answer("again")]]);
    let second = staying();
    let gateway = start_gateway(&first, &second);
    assert_eq!(gateway.request("GET /once/").unwrap().body, "leaving");
    let mut entries = list(&first, &second);
    entries[0].start = 1;
    gateway.feed.set_endpoints(entries);
    assert_eq!(gateway.request("GET /once/").unwrap().body, "again");
}

#[test]
fn requests_are_refused_if_the_only_endpoint_leaves() {
    let endpoint = Endpoint::start(vec![vec![LEAVING]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| config.routes[0].timeout_ms = 400);
    assert_eq!(gateway.request("GET /once/").unwrap().body, "leaving");
    let reply = gateway.request("GET /once/").unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(endpoint.requests().len(), 1);
}

/// The request waits for the slot of a stream whose head says that the endpoint leaves.
#[test]
fn a_queued_request_is_not_sent_to_an_endpoint_that_leaves_meanwhile() {
    let stream = vec![Step::Hold, LEAVING_STREAM, Step::Events("id: 1\n\n"), Step::EndStream];
    let endpoint = Endpoint::start(vec![stream, vec![Step::Answer("late")]]);
    let gateway = TestGateway::start(&[]);
    let mut entries = crate::harness::entries(&[&endpoint]);
    entries[0].slots = 1;
    gateway.feed.set_endpoints(entries);
    let mut streaming = gateway.caller();
    streaming.send(
        "POST /stream/",
        &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")],
        "",
    );
    TestGateway::wait_until("the stream is sent", || endpoint.requests().len() == 1);
    let mut queued = gateway.caller();
    queued.send("POST /once/", &[("trefoildyke-request-id", "q"), ("trefoildyke-key", "k1")], "");
    TestGateway::wait_until("the request waits", || gateway.feed.waiting_count(&"svc".into()) == 1);
    endpoint.release_one();
    assert!(streaming.read_reply().unwrap().is_complete);
    assert_eq!(queued.read_reply().unwrap().status, 503);
    assert_eq!(endpoint.requests().len(), 1);
}

/// The answer to a misdirected request tells of another endpoint than the one that was meant.
#[test]
fn a_misdirected_request_does_not_show_that_its_endpoint_leaves() {
    let other = Step::Raw(
        "HTTP/1.1 421 Other\r\ntrefoildyke-leaving: 1\r\n\
         Content-Length: 0\r\n\r\n",
    );
    let endpoint = Endpoint::start(vec![vec![other], vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
    TestGateway::wait_until("a request is served", || {
        gateway.request("GET /again/").unwrap().status == 200
    });
}
