//! Keys and routes, and how long they stay valid.

use std::time::Duration;

use crate::harness::{Endpoint, Step, TestGateway, account};

fn endpoint() -> Endpoint {
    Endpoint::start(vec![vec![Step::Answer("x")]])
}

fn status(gateway: &TestGateway, line: &str) -> u16 {
    gateway.request(line).unwrap().status
}

#[test]
fn requests_before_the_first_configuration_get_retry_after() {
    let gateway = TestGateway::unconfigured(|_| ());
    let reply = gateway.request("GET /once/").unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn unknown_routes_and_keys_are_denied() {
    let endpoint = endpoint();
    let gateway = TestGateway::start(&[&endpoint]);
    assert_eq!(status(&gateway, "GET /nowhere/"), 404);
    gateway.reconfigure(2, |config| config.accounts = vec![account("other")]);
    assert_eq!(status(&gateway, "GET /once/"), 401);
    assert_eq!(status(&gateway, "GET /open/"), 200);
}

#[test]
fn an_older_version_of_the_configuration_is_ignored() {
    let endpoint = endpoint();
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(5, |config| config.accounts = vec![account("other")]);
    gateway.reconfigure(4, |_| ());
    assert_eq!(status(&gateway, "GET /once/"), 401);
}

/// A revoked key must not work at a daemon that cannot hear of the revocation.
#[test]
fn keys_are_refused_when_the_last_confirmation_is_too_old() {
    let endpoint = endpoint();
    let gateway =
        TestGateway::unconfigured(|settings| settings.max_key_age = Duration::from_millis(400));
    gateway.configure(&[&endpoint]);
    assert_eq!(status(&gateway, "GET /once/"), 200);
    std::thread::sleep(Duration::from_millis(450));
    let reply = gateway.request("GET /once/").unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    // A configuration that may be out of date must not cause a permanent denial either.
    assert_eq!(status(&gateway, "GET /nowhere/"), 503);
    assert_eq!(status(&gateway, "GET /open/"), 200);
    assert_eq!(endpoint.requests().len(), 2);
    gateway.feed.confirm(gateway.feed.now());
    assert_eq!(status(&gateway, "GET /once/"), 200);
}

#[test]
fn a_late_confirmation_counts_from_the_time_of_its_query() {
    let endpoint = endpoint();
    let gateway =
        TestGateway::unconfigured(|settings| settings.max_key_age = Duration::from_millis(300));
    gateway.configure(&[&endpoint]);
    let asked = gateway.feed.now();
    std::thread::sleep(Duration::from_millis(350));
    gateway.feed.confirm(asked);
    assert_eq!(status(&gateway, "GET /once/"), 503);
}

/// Guards against a gateway without a way to the store that lets callers in for good without a key, though keys may
/// have come into use.
#[test]
fn an_unconfirmed_version_without_accounts_admits_only_requests_to_public_routes() {
    let endpoint = endpoint();
    let gateway =
        TestGateway::unconfigured(|settings| settings.max_key_age = Duration::from_millis(400));
    gateway.configure(&[&endpoint]);
    gateway.reconfigure(2, |config| {
        config.accounts = Vec::new();
        config.keyless = true;
    });
    let status = |line| {
        let mut caller = gateway.caller();
        caller.send(line, &[("trefoildyke-request-id", "r1")], "");
        caller.read_reply().unwrap().status
    };
    assert_eq!(status("GET /once/"), 200);
    std::thread::sleep(Duration::from_millis(450));
    assert_eq!(status("GET /once/"), 503);
    assert_eq!(status("GET /nowhere/"), 503);
    assert_eq!(status("GET /open/"), 200);
    assert_eq!(endpoint.requests().len(), 2);
    gateway.feed.confirm(gateway.feed.now());
    assert_eq!(status("GET /once/"), 200);
}

/// Guards against admitting callers that send the header of the key without a value, or with bytes that are no text.
#[test]
fn a_header_without_a_valid_key_admits_nobody() {
    let endpoint = endpoint();
    let gateway = TestGateway::start(&[&endpoint]);
    let status = |key: &str| {
        let mut caller = gateway.caller();
        let headers = [("trefoildyke-request-id", "r1"), ("trefoildyke-key", key)];
        caller.send("GET /once/", &headers, "");
        caller.read_reply().unwrap().status
    };
    gateway.reconfigure(2, |config| config.accounts = vec![account(""), account("schl\u{fc}ssel")]);
    for key in ["", " ", "\t", "\u{fc}", "k1"] {
        assert_eq!(status(key), 401, "{key:?}");
    }
    assert_eq!(status("schl\u{fc}ssel"), 200);
    gateway.reconfigure(3, |config| {
        config.accounts = Vec::new();
        config.keyless = true;
    });
    for (key, expected) in [("", 200), (" ", 200), ("\u{fc}", 401), ("k1", 401)] {
        assert_eq!(status(key), expected, "{key:?}");
    }
}
