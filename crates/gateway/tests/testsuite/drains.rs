//! Endpoints that are drained.

use std::time::Duration;

use crate::harness::{Endpoint, Step, TestGateway, entries};

#[test]
fn a_draining_endpoint_gets_no_new_requests_on_open_connections() {
    let leaving = Endpoint::start(vec![vec![Step::Answer("leaving")]]);
    let staying = Endpoint::start(vec![vec![Step::Answer("staying")]]);
    let gateway = TestGateway::start(&[&leaving]);
    assert_eq!(gateway.request("GET /once/").unwrap().body, "leaving");
    let mut list = entries(&[&leaving, &staying]);
    list[0].draining = true;
    gateway.feed.set_endpoints(list);
    for _ in 0..5 {
        assert_eq!(gateway.request("GET /once/").unwrap().body, "staying");
    }
    assert_eq!(leaving.requests().len(), 1);
    TestGateway::wait_until("the idle connection is closed", || leaving.closed() == 1);
}

#[test]
fn requests_in_progress_finish_at_a_draining_endpoint() {
    let leaving = Endpoint::start(vec![vec![
        Step::Stream,
        Step::Events("id: 1\n\n"),
        Step::Pause(Duration::from_millis(300)),
        Step::Events("id: 2\n\n"),
        Step::EndStream,
    ]]);
    let gateway = TestGateway::start(&[&leaving]);
    let mut caller = gateway.caller();
    caller.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    caller.read_first_event();
    let mut list = entries(&[&leaving]);
    list[0].draining = true;
    gateway.feed.set_endpoints(list);
    let reply = caller.read_reply().unwrap();
    assert_eq!((reply.body.as_str(), reply.is_complete), ("id: 1\n\nid: 2\n\n", true));
}

#[test]
fn requests_name_their_endpoint_after_its_address_was_reused() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.request("GET /once/").unwrap();
    let mut list = entries(&[&endpoint]);
    list[0].endpoint = "second".into();
    gateway.feed.record_endpoints_failure();
    gateway.feed.set_endpoints(list);
    gateway.request("GET /once/").unwrap();
    gateway.request("GET /once/").unwrap();
    let named: Vec<_> =
        endpoint.requests().iter().map(|request| request.contains("endpoint: e0")).collect();
    // After an outage the first entry is kept for a while, so each request must name the endpoint it is
    // meant for.
    assert_eq!(named.len(), 3);
    assert!(named[0]);
}
