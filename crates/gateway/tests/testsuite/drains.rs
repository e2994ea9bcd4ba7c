//! Endpoints that leave.

use std::time::Duration;

use crate::harness::{Endpoint, Stack, Step, entries};

#[test]
fn a_draining_endpoint_gets_nothing_more_also_over_its_open_connections() {
    let leaving = Endpoint::start(vec![vec![Step::Answer("leaving")]]);
    let staying = Endpoint::start(vec![vec![Step::Answer("staying")]]);
    let stack = Stack::start(&[&leaving]);
    assert_eq!(stack.ask("GET /once/").unwrap().body, "leaving");
    let mut list = entries(&[&leaving, &staying]);
    list[0].draining = true;
    stack.feed.endpoints(list);
    for _ in 0..5 {
        assert_eq!(stack.ask("GET /once/").unwrap().body, "staying");
    }
    assert_eq!(leaving.seen().len(), 1);
    Stack::wait_until("the idle connection is closed", || leaving.closed() == 1);
}

#[test]
fn what_runs_at_a_draining_endpoint_ends_there() {
    let leaving = Endpoint::start(vec![vec![
        Step::Stream,
        Step::Events("id: 1\n\n"),
        Step::Pause(Duration::from_millis(300)),
        Step::Events("id: 2\n\n"),
        Step::EndStream,
    ]]);
    let stack = Stack::start(&[&leaving]);
    let mut caller = stack.caller();
    caller.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    caller.first_part();
    let mut list = entries(&[&leaving]);
    list[0].draining = true;
    stack.feed.endpoints(list);
    let reply = caller.reply().unwrap();
    assert_eq!((reply.body.as_str(), reply.whole), ("id: 1\n\nid: 2\n\n", true));
}

#[test]
fn an_address_that_another_endpoint_uses_again_is_not_taken_for_the_first() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    stack.ask("GET /once/").unwrap();
    let mut list = entries(&[&endpoint]);
    list[0].endpoint = "second".into();
    stack.feed.endpoints_unknown();
    stack.feed.endpoints(list);
    stack.ask("GET /once/").unwrap();
    stack.ask("GET /once/").unwrap();
    let named: Vec<_> = endpoint.seen().iter().map(|seen| seen.contains("endpoint: e0")).collect();
    // After an outage the first entry is kept for a while: each request names whom it means.
    assert_eq!(named.len(), 3);
    assert!(named[0]);
}
