//! How long connections of callers may be idle.

use std::time::{Duration, Instant};

use crate::harness::{Caller, Endpoint, Step, TestGateway};

const HEADERS: [(&str, &str); 2] = [("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")];

/// An idle limit below the time for which the tests leave connections idle, in milliseconds.
const SHORT_MS: u64 = 250;

fn endpoint() -> Endpoint {
    Endpoint::start(vec![vec![Step::Answer("x")]])
}

fn set_idle_limit(gateway: &TestGateway, version: u64, idle_ms: u64) {
    gateway.reconfigure(version, |config| {
        (config.limits.idle_ms, config.limits.header_ms) = (idle_ms, SHORT_MS);
    });
}

fn assert_served(caller: &mut Caller) {
    caller.send("GET /once/", &HEADERS, "");
    assert_eq!(caller.read_reply().expect("the connection was closed").status, 200);
}

#[test]
fn a_connection_that_is_idle_within_a_raised_limit_is_not_closed() {
    let endpoint = endpoint();
    let gateway = TestGateway::start(&[&endpoint]);
    set_idle_limit(&gateway, 2, SHORT_MS);
    let (mut used, mut fresh) = (gateway.caller(), gateway.caller());
    assert_served(&mut used);
    set_idle_limit(&gateway, 3, 5_000);
    std::thread::sleep(Duration::from_millis(SHORT_MS * 4));
    assert_served(&mut used);
    assert_served(&mut fresh);
    std::thread::sleep(Duration::from_millis(SHORT_MS * 4));
    assert_served(&mut used);
}

#[test]
fn a_connection_that_is_idle_beyond_the_limit_is_closed() {
    let endpoint = endpoint();
    let gateway = TestGateway::start(&[&endpoint]);
    set_idle_limit(&gateway, 2, SHORT_MS);
    let (mut used, mut fresh) = (gateway.caller(), gateway.caller());
    assert_served(&mut used);
    set_idle_limit(&gateway, 3, SHORT_MS * 2);
    let started = Instant::now();
    assert!(used.is_closed());
    assert!(fresh.is_closed());
    assert!(started.elapsed() >= Duration::from_millis(SHORT_MS), "{:?}", started.elapsed());
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}
