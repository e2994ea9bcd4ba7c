//! Whether a daemon reaches the endpoints.

use std::net::SocketAddr;

use trefoildyke_decide::gateway::Links;
use trefoildyke_types::time::Timestamp;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn a_daemon_is_isolated_after_failures_at_three_endpoints_until_a_connection_opens() {
    let mut links = Links::default();
    for ms in [0, 10, 20] {
        assert!(!links.record_failed(at(ms), &"e0".into(), 9), "one endpoint is down");
    }
    assert!(!links.record_failed(at(30), &"e1".into(), 9));
    assert!(links.record_failed(at(40), &"e2".into(), 9));
    assert!(!links.record_failed(at(50), &"e3".into(), 9), "it is known already");
    assert!(links.is_isolated());
    assert!(links.record_opened());
    assert!(!links.is_isolated());
    assert!(!links.record_opened());
}

#[test]
fn failures_that_are_long_past_do_not_isolate_a_daemon() {
    let mut links = Links::default();
    for (ms, endpoint) in [(0, "e0"), (1_500, "e1"), (3_000, "e2"), (4_500, "e3")] {
        assert!(!links.record_failed(at(ms), &endpoint.into(), 9));
    }
}

#[test]
fn a_daemon_that_knows_of_two_endpoints_is_isolated_if_it_reaches_neither() {
    let mut links = Links::default();
    assert!(!links.record_failed(at(0), &"e0".into(), 2));
    assert!(links.record_failed(at(10), &"e1".into(), 2));
}

#[test]
fn an_isolated_daemon_tries_a_direct_connection_twice_a_second() {
    let mut links = Links::default();
    assert!(!links.take_probe(at(0)));
    links.record_failed(at(0), &"e0".into(), 1);
    let probes = (0..2_000).filter(|ms| links.take_probe(at(*ms))).count();
    assert_eq!(probes, 3);
}

#[test]
fn a_daemon_that_could_not_forward_is_not_asked_for_a_second() {
    let mut links = Links::default();
    let peer: SocketAddr = "10.0.0.1:7600".parse().unwrap();
    links.avoid(at(0), peer);
    assert!(!links.may_forward(at(999), peer));
    assert!(links.may_forward(at(1_000), peer));
}
