//! Endpoints that reject requests and want none from the gateway for a while.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::harness::{Endpoint, Step, TestGateway};

fn rejection(retry_after: &'static str) -> Step {
    let text = format!(
        "HTTP/1.1 503 Full\r\ntrefoildyke-request-id: {{id}}\r\ntrefoildyke-not-run: 1\r\n\
         Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n"
    );
    Step::Raw(text.leak())
}

fn wait_until_served(gateway: &TestGateway) {
    TestGateway::wait_until("a request is served", || {
        gateway.request("GET /again/").unwrap().status == 200
    });
}

/// Sends requests for a time; none of them may reach the endpoint.
fn assert_refused(gateway: &TestGateway, endpoint: &Endpoint, length: Duration) {
    let (start, sent) = (Instant::now(), endpoint.requests().len());
    while start.elapsed() < length {
        assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(endpoint.requests().len(), sent);
}

#[test]
fn an_endpoint_that_rejects_with_retry_after_gets_no_requests_until_then() {
    for value in ["2", "1.5"] {
        let endpoint = Endpoint::start(vec![vec![rejection(value)], vec![Step::Answer("x")]]);
        let gateway = TestGateway::start(&[&endpoint]);
        let started = Instant::now();
        assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
        wait_until_served(&gateway);
        assert!(started.elapsed().as_secs_f64() >= value.parse().unwrap(), "{value}");
        assert_eq!(endpoint.requests().len(), 2);
    }
}

/// A later rejection does not end an earlier pause sooner.
#[test]
fn the_longest_retry_after_of_an_endpoint_counts() {
    let first = vec![Step::Hold, rejection("60")];
    let second = vec![Step::Pause(Duration::from_millis(200)), rejection("0.1")];
    let endpoint = Endpoint::start(vec![first, second, vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    thread::scope(|scope| {
        let first = scope.spawn(|| gateway.request("GET /again/"));
        TestGateway::wait_until("the first request is sent", || endpoint.requests().len() == 1);
        let second = scope.spawn(|| gateway.request("GET /again/"));
        TestGateway::wait_until("the second request is sent", || endpoint.requests().len() == 2);
        endpoint.release_one();
        assert_eq!(first.join().unwrap().unwrap().status, 503);
        assert_eq!(second.join().unwrap().unwrap().status, 503);
    });
    assert_refused(&gateway, &endpoint, Duration::from_millis(1_500));
}

#[test]
fn a_retry_after_that_is_no_number_of_seconds_is_ignored() {
    thread::scope(|scope| {
        for value in ["-1", "soon", "inf", "NaN", "", "Fri, 04 Dec 2026 12:00:00 GMT"] {
            scope.spawn(move || {
                let script = vec![vec![rejection(value)], vec![Step::Answer("x")]];
                let endpoint = Endpoint::start(script);
                let gateway = TestGateway::start(&[&endpoint]);
                assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
                wait_until_served(&gateway);
            });
        }
    });
}

#[test]
fn a_huge_retry_after_is_obeyed() {
    let endpoint = Endpoint::start(vec![vec![rejection("1e300")], vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
    assert_refused(&gateway, &endpoint, Duration::from_millis(1_500));
}

/// The first request is rejected by both endpoints, the second one waits for the shorter pause.
#[test]
fn a_request_waits_for_the_end_of_a_short_pause_of_all_endpoints() {
    let first = Endpoint::start(vec![vec![rejection("0.9")], vec![Step::Answer("first")]]);
    let second = Endpoint::start(vec![vec![rejection("60")]]);
    let gateway = TestGateway::start(&[&first, &second]);
    let started = Instant::now();
    assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
    let reply = gateway.request("GET /again/").unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "first"));
    assert!(started.elapsed() >= Duration::from_millis(900), "{:?}", started.elapsed());
}

#[test]
fn a_request_is_refused_at_once_if_all_endpoints_pause_for_longer_than_its_time() {
    let endpoint = Endpoint::start(vec![vec![rejection("60")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
    let started = Instant::now();
    let reply = gateway.request("GET /again/").unwrap();
    assert_eq!(reply.status, 503);
    let after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!((55.0..=60.0).contains(&after), "{after}");
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    assert_eq!(endpoint.requests().len(), 1);
}

/// A gateway whose endpoints have one slot each; the first one is preferred.
fn start_with_single_slots(endpoints: &[&Endpoint]) -> TestGateway {
    let gateway = TestGateway::start(&[]);
    let mut entries = crate::harness::entries(endpoints);
    for (number, entry) in entries.iter_mut().enumerate() {
        entry.slots = 1;
        entry.zone = if number == 0 { "a" } else { "b" }.into();
    }
    gateway.feed.set_endpoints(entries);
    gateway
}

#[test]
fn a_request_that_waits_when_its_only_endpoint_pauses_is_served_after_the_pause() {
    let script = vec![vec![Step::Hold, rejection("0.6")], vec![Step::Answer("x")]];
    let endpoint = Endpoint::start(script);
    let gateway = start_with_single_slots(&[&endpoint]);
    thread::scope(|scope| {
        let rejected = scope.spawn(|| gateway.request("GET /again/"));
        TestGateway::wait_until("the first request is sent", || endpoint.requests().len() == 1);
        let queued = scope.spawn(|| gateway.request("GET /again/"));
        TestGateway::wait_until("the second request waits", || {
            gateway.feed.waiting_count(&"svc".into()) == 1
        });
        endpoint.release_one();
        assert_eq!(rejected.join().unwrap().unwrap().status, 503);
        assert_eq!(queued.join().unwrap().unwrap().body, "x");
    });
}

/// The pause ends while the request waits for the slot of the other endpoint.
#[test]
fn a_request_that_waits_for_another_endpoint_gets_one_whose_pause_has_ended() {
    let stream = vec![Step::Stream, Step::Events("id: 1\n\n"), Step::AwaitClose];
    let busy = Endpoint::start(vec![stream]);
    let pausing = Endpoint::start(vec![vec![rejection("2")], vec![Step::Answer("x")]]);
    let gateway = start_with_single_slots(&[&busy, &pausing]);
    gateway.reconfigure(2, |config| config.routes[2].timeout_ms = 10_000);
    let mut caller = gateway.caller();
    let headers = [("trefoildyke-request-id", "busy"), ("trefoildyke-key", "k1")];
    caller.send("POST /stream/", &headers, "");
    caller.read_first_event();
    assert_eq!(gateway.request("GET /again/").unwrap().status, 503);
    assert_eq!(gateway.request("GET /again/").unwrap().body, "x");
    assert_eq!(busy.requests().len(), 1);
}
