//! Graceful stops.

use std::time::{Duration, Instant};

use crate::harness::{Caller, Endpoint, Step, TestGateway};

fn ready(gateway: &TestGateway) -> u16 {
    let mut caller = Caller::connect(gateway.addresses.ready);
    caller.send("GET /ready", &[], "");
    caller.read_reply().unwrap().status
}

#[test]
fn the_gateway_is_ready_only_with_a_fresh_configuration_and_endpoints() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway =
        TestGateway::unconfigured(|settings| settings.max_ready_age = Duration::from_millis(300));
    assert_eq!(ready(&gateway), 503);
    gateway.configure(&[&endpoint]);
    assert_eq!(ready(&gateway), 200);
    std::thread::sleep(Duration::from_millis(350));
    assert_eq!(ready(&gateway), 503);
}

#[test]
fn a_stop_finishes_requests_and_serves_new_ones_for_a_while() {
    let endpoint = Endpoint::start(vec![
        vec![
            Step::Stream,
            Step::Events("id: 1\n\n"),
            Step::Pause(Duration::from_millis(1_500)),
            Step::Events("id: 2\n\n"),
            Step::EndStream,
        ],
        vec![Step::Answer("late")],
    ]);
    let gateway =
        TestGateway::unconfigured(|settings| settings.stop_grace = Duration::from_secs(5));
    gateway.configure(&[&endpoint]);
    let mut stream = gateway.caller();
    stream.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    stream.read_first_event();
    let addresses = gateway.addresses;
    let stopping = std::thread::spawn(move || {
        let started = Instant::now();
        (gateway.stop(), started.elapsed())
    });
    std::thread::sleep(Duration::from_millis(300));
    let mut ready = Caller::connect(addresses.ready);
    ready.send("GET /ready", &[], "");
    assert_eq!(ready.read_reply().unwrap().status, 503);
    let mut late = Caller::connect(addresses.callers);
    late.send("GET /once/", &[("trefoildyke-request-id", "l"), ("trefoildyke-key", "k1")], "");
    let reply = late.read_reply().unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "late"));
    assert_eq!(reply.header("connection"), Some("close"));
    assert!(late.is_closed());
    assert!(stream.read_reply().unwrap().is_complete);
    let (cut, took) = stopping.join().unwrap();
    assert_eq!(cut, 0);
    assert!(took < Duration::from_secs(5), "{took:?}");
}

#[test]
fn a_stop_ends_at_its_grace_period_and_counts_requests_cut_off() {
    let pause = Step::Pause(Duration::from_secs(30));
    let endpoint = Endpoint::start(vec![vec![Step::Stream, Step::Events("id: 1\n\n"), pause]]);
    let gateway =
        TestGateway::unconfigured(|settings| settings.stop_grace = Duration::from_secs(1));
    gateway.configure(&[&endpoint]);
    let mut stream = gateway.caller();
    stream.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    stream.read_first_event();
    let started = Instant::now();
    assert_eq!(gateway.stop(), 1);
    assert!(started.elapsed() < Duration::from_millis(1_500));
    assert!(!stream.read_reply().unwrap().is_complete);
}

/// An answer of 1,500 tokens takes six seconds at 4 ms per token.
#[test]
fn a_request_that_would_outlast_a_stop_is_refused_and_a_short_one_served() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("short")]]);
    let gateway =
        TestGateway::unconfigured(|settings| settings.stop_grace = Duration::from_secs(5));
    gateway.configure(&[&endpoint]);
    let addresses = gateway.addresses;
    let stopping = std::thread::spawn(move || gateway.stop());
    std::thread::sleep(Duration::from_millis(300));
    let ask = |tokens: &'static str| {
        let mut late = Caller::connect(addresses.callers);
        let headers = [
            ("trefoildyke-request-id", "l"),
            ("trefoildyke-key", "k1"),
            ("trefoildyke-tokens", tokens),
            ("trefoildyke-length-hint", tokens.split(',').next_back().unwrap()),
        ];
        late.send("GET /once/", &headers, "");
        late.read_reply().unwrap()
    };
    let long = ask("20,1500");
    assert_eq!((long.status, long.header("connection")), (503, Some("close")));
    assert!(long.header("retry-after").is_some());
    assert_eq!(ask("20,50").status, 200);
    stopping.join().unwrap();
}
