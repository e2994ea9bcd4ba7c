//! What callers get, and what endpoints see of them.

use crate::harness::{Endpoint, Stack, Step};

#[test]
fn a_request_passes_byte_for_byte_and_so_does_its_answer() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("the answer")]]);
    let stack = Stack::start(&[&endpoint]);
    let mut caller = stack.caller();
    let headers = [
        ("trefoildyke-request-id", "abc"),
        ("trefoildyke-key", "k1"),
        ("trefoildyke-deadline-ms", "1500"),
        ("X-Other", "kept"),
    ];
    caller.send("POST /once/a%20b?x=1&y", &headers, "body bytes");
    let reply = caller.reply().unwrap();
    assert_eq!((reply.status, reply.body.as_str(), reply.whole), (200, "the answer", true));
    assert_eq!(reply.header("trefoildyke-seal"), Some("sealed-abc"));
    let seen = endpoint.seen().remove(0);
    assert!(seen.starts_with("POST /once/a%20b?x=1&y HTTP/1.1\r\n"), "{seen}");
    assert!(seen.ends_with("\r\n\r\nbody bytes"), "{seen}");
    let lower = seen.to_ascii_lowercase();
    assert!(lower.contains("x-other: kept"), "{seen}");
    assert!(lower.contains("host: claims.example"), "{seen}");
    assert!(lower.contains("trefoildyke-endpoint: e0"), "{seen}");
    assert!(lower.contains("trefoildyke-account: cascadia"), "{seen}");
    assert!(!lower.contains("k1"), "the key was passed on: {seen}");
}

#[test]
fn headers_that_the_system_sets_are_not_taken_from_callers() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::bare(|settings| {
        settings.names.reserved = vec![hyper::header::HeaderName::from_static("hold")];
    });
    stack.believe(&[&endpoint]);
    let forged = [
        ("trefoildyke-account", "someone-else"),
        ("trefoildyke-endpoint", "e9"),
        ("Hold", "h1"),
        ("Connection", "X-Hop"),
        ("X-Hop", "1"),
    ];
    assert_eq!(stack.ask_with("GET /once/", &forged).unwrap().status, 200);
    let seen = endpoint.seen().remove(0).to_ascii_lowercase();
    assert!(seen.contains("trefoildyke-account: cascadia"), "{seen}");
    for stripped in ["someone-else", "e9", "hold", "x-hop"] {
        assert!(!seen.contains(stripped), "{stripped} was passed on: {seen}");
    }
}

#[test]
fn the_deadline_that_is_passed_on_is_what_is_left() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    stack.ask("GET /once/").unwrap();
    let seen = endpoint.seen().remove(0);
    let line = seen.lines().find(|line| line.starts_with("trefoildyke-deadline-ms")).unwrap();
    let left: u64 = line.split(": ").nth(1).unwrap().parse().unwrap();
    assert!((2_500..=3_000).contains(&left), "{line}");
}

#[test]
fn a_caller_that_leaves_ends_the_work_at_the_endpoint() {
    let pause = std::time::Duration::from_secs(30);
    let endpoint = Endpoint::start(vec![vec![Step::Pause(pause)]]);
    let relay =
        Endpoint::start(vec![vec![Step::Stream, Step::Events("id: 1\n\n"), Step::Pause(pause)]]);
    for (endpoint, line) in [(&endpoint, "GET /once/"), (&relay, "GET /stream/")] {
        let stack = Stack::start(&[endpoint]);
        let mut caller = stack.caller();
        caller.send(line, &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
        Stack::wait_until("the request arrives", || endpoint.seen().len() == 1);
        drop(caller);
        let text = || {
            let metrics = stack.addresses.metrics.unwrap();
            let mut scrape = crate::harness::Caller::connect(metrics);
            scrape.send("GET /metrics", &[], "");
            scrape.reply().unwrap().body
        };
        Stack::wait_until("the end is noticed", || text().contains("caller_left"));
    }
}

#[test]
fn a_request_without_an_answer_ends_at_the_timeout_of_its_route() {
    let pause = std::time::Duration::from_secs(30);
    let endpoint = Endpoint::start(vec![vec![Step::Pause(pause)]]);
    let stack = Stack::start(&[&endpoint]);
    stack.reconfigure(2, |config| config.routes[0].timeout_ms = 300);
    let begun = std::time::Instant::now();
    assert_eq!(stack.ask("GET /once/").unwrap().status, 504);
    let took = begun.elapsed().as_millis();
    assert!((290..800).contains(&took), "{took} ms");
}

#[test]
fn metrics_tell_outcomes_times_and_dropped_log_lines() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    stack.ask("GET /once/").unwrap();
    stack.ask("GET /nowhere/").unwrap();
    let mut scrape = crate::harness::Caller::connect(stack.addresses.metrics.unwrap());
    scrape.send("GET /metrics", &[], "");
    let text = scrape.reply().unwrap().body;
    for line in [
        "gateway_requests_ended_total{outcome=\"served\",route=\"once\"",
        "gateway_requests_ended_total{outcome=\"no_route\",route=\"\"",
        "gateway_sends_total",
        "gateway_first_byte_ms_count",
        "gateway_wait_ms_count",
        "gateway_log_lines_dropped_total",
    ] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
}

/// An endpoint accepts a number of connections from all daemons together.
#[test]
fn idle_connections_stay_within_this_daemons_part() {
    let script = vec![Step::Pause(std::time::Duration::from_millis(100)), Step::Answer("x")];
    let endpoint = Endpoint::start(vec![script]);
    let stack = Stack::start(&[&endpoint]);
    stack.reconfigure(2, |config| config.services[0].connections = 2);
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let mut caller = stack.caller();
            let headers = [("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")];
            caller.send("GET /once/", &headers, "");
            caller
        })
        .collect();
    for mut caller in callers {
        assert_eq!(caller.reply().unwrap().status, 200);
    }
    Stack::wait_until("three of four connections are closed", || endpoint.closed() == 3);
}
