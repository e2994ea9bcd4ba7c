//! What callers receive, and what endpoints receive of their requests.

use crate::harness::{Endpoint, Step, TestGateway};

#[test]
fn requests_and_answers_are_forwarded_byte_for_byte() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("the answer")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    let mut caller = gateway.caller();
    let headers = [
        ("trefoildyke-request-id", "abc"),
        ("trefoildyke-key", "k1"),
        ("trefoildyke-deadline-ms", "1500"),
        ("X-Other", "kept"),
    ];
    caller.send("POST /once/a%20b?x=1&y", &headers, "body bytes");
    let reply = caller.read_reply().unwrap();
    assert_eq!((reply.status, reply.body.as_str(), reply.is_complete), (200, "the answer", true));
    assert_eq!(reply.header("trefoildyke-seal"), Some("sealed-abc"));
    let request = endpoint.requests().remove(0);
    assert!(request.starts_with("POST /once/a%20b?x=1&y HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\nbody bytes"), "{request}");
    let lower = request.to_ascii_lowercase();
    assert!(lower.contains("x-other: kept"), "{request}");
    assert!(lower.contains("host: claims.example"), "{request}");
    assert!(lower.contains("trefoildyke-endpoint: e0"), "{request}");
    assert!(lower.contains("trefoildyke-account: cascadia"), "{request}");
    assert!(!lower.contains("k1"), "the key was passed on: {request}");
}

#[test]
fn reserved_headers_of_callers_are_removed() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::unconfigured(|settings| {
        settings.names.reserved = vec![hyper::header::HeaderName::from_static("hold")];
    });
    gateway.configure(&[&endpoint]);
    let forged = [
        ("trefoildyke-account", "someone-else"),
        ("trefoildyke-endpoint", "e9"),
        ("Hold", "h1"),
        ("Connection", "X-Hop"),
        ("X-Hop", "1"),
    ];
    assert_eq!(gateway.request_with("GET /once/", &forged).unwrap().status, 200);
    let request = endpoint.requests().remove(0).to_ascii_lowercase();
    assert!(request.contains("trefoildyke-account: cascadia"), "{request}");
    for stripped in ["someone-else", "e9", "hold", "x-hop"] {
        assert!(!request.contains(stripped), "{stripped} was passed on: {request}");
    }
}

#[test]
fn the_forwarded_deadline_is_the_time_left() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.request("GET /once/").unwrap();
    let request = endpoint.requests().remove(0);
    let line = request.lines().find(|line| line.starts_with("trefoildyke-deadline-ms")).unwrap();
    let left: u64 = line.split(": ").nth(1).unwrap().parse().unwrap();
    assert!((2_500..=3_000).contains(&left), "{line}");
}

#[test]
fn a_request_ends_when_its_caller_disconnects() {
    let pause = std::time::Duration::from_secs(30);
    let endpoint = Endpoint::start(vec![vec![Step::Pause(pause)]]);
    let relay =
        Endpoint::start(vec![vec![Step::Stream, Step::Events("id: 1\n\n"), Step::Pause(pause)]]);
    for (endpoint, line) in [(&endpoint, "GET /once/"), (&relay, "GET /stream/")] {
        let gateway = TestGateway::start(&[endpoint]);
        let mut caller = gateway.caller();
        caller.send(line, &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
        TestGateway::wait_until("the request arrives", || endpoint.requests().len() == 1);
        drop(caller);
        let text = || {
            let metrics = gateway.addresses.metrics.unwrap();
            let mut scrape = crate::harness::Caller::connect(metrics);
            scrape.send("GET /metrics", &[], "");
            scrape.read_reply().unwrap().body
        };
        TestGateway::wait_until("the end is noticed", || text().contains("caller_left"));
    }
}

#[test]
fn an_unanswered_request_ends_at_the_timeout_of_its_route() {
    let pause = std::time::Duration::from_secs(30);
    let endpoint = Endpoint::start(vec![vec![Step::Pause(pause)]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| config.routes[0].timeout_ms = 300);
    let started = std::time::Instant::now();
    assert_eq!(gateway.request("GET /once/").unwrap().status, 504);
    let took = started.elapsed().as_millis();
    assert!((290..800).contains(&took), "{took} ms");
}

#[test]
fn metrics_contain_outcomes_times_and_dropped_log_lines() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.request("GET /once/").unwrap();
    gateway.request("GET /nowhere/").unwrap();
    let mut scrape = crate::harness::Caller::connect(gateway.addresses.metrics.unwrap());
    scrape.send("GET /metrics", &[], "");
    let text = scrape.read_reply().unwrap().body;
    for line in [
        "gateway_requests_ended_total{ended_by=\"endpoint\",outcome=\"served\",route=\"once\"",
        "gateway_requests_ended_total{ended_by=\"gateway\",outcome=\"no_route\",route=\"\"",
        "gateway_sends_total",
        "gateway_first_byte_ms_count",
        "gateway_wait_ms_count",
        "gateway_log_lines_dropped_total",
    ] {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
}

/// The limit on an endpoint's connections is for all daemons together.
#[test]
fn idle_connections_stay_within_the_share_of_the_daemon() {
    let script = vec![Step::Pause(std::time::Duration::from_millis(100)), Step::Answer("x")];
    let endpoint = Endpoint::start(vec![script]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| config.services[0].connections = 2);
    let callers: Vec<_> = (0..4)
        .map(|_| {
            let mut caller = gateway.caller();
            let headers = [("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")];
            caller.send("GET /once/", &headers, "");
            caller
        })
        .collect();
    for mut caller in callers {
        assert_eq!(caller.read_reply().unwrap().status, 200);
    }
    TestGateway::wait_until("three of four connections are closed", || endpoint.closed() == 3);
}
