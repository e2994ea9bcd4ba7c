//! Refusals of requests whose body is still arriving.

use std::time::{Duration, Instant};

use trefoildyke_decide::gateway::Limits;

use crate::harness::{Caller, Endpoint, Reply, Step, TestGateway};

const HEAD: &str = "Host: claims.example\r\ntrefoildyke-request-id: r\r\ntrefoildyke-key: k1\r\n";

/// The size of the bodies, in bytes; more than the gateway reads at once.
const BODY_BYTES: usize = 2_000_000;

fn endpoint() -> Endpoint {
    Endpoint::start(vec![vec![Step::Answer("x")]])
}

/// Starts a gateway that reads bodies of up to `body_bytes` for up to `header_ms`.
fn start(endpoint: &Endpoint, body_bytes: usize, header_ms: u64) -> TestGateway {
    let gateway = TestGateway::start(&[endpoint]);
    gateway.reconfigure(2, |config| {
        config.limits = Limits { body_bytes, header_ms, ..Limits::default() };
    });
    gateway
}

fn wait_for_refusal(gateway: &TestGateway, outcome: &str) {
    let is_refused = || {
        let mut scrape = Caller::connect(gateway.addresses.metrics.unwrap());
        scrape.send("GET /metrics", &[], "");
        scrape.read_reply().unwrap().body.contains(&format!("outcome=\"{outcome}\""))
    };
    TestGateway::wait_until("the request is refused", is_refused);
}

/// Sends a request with a body of `length` in two parts, the second one after the refusal.
fn send_in_parts(gateway: &TestGateway, head: &str, length: usize, outcome: &str) -> Caller {
    let mut caller = gateway.caller();
    let body = "x".repeat(length);
    let (first, rest) = body.split_at(10);
    caller.write(&format!("{head}Content-Length: {length}\r\n\r\n{first}"));
    wait_for_refusal(gateway, outcome);
    caller.write(rest);
    caller
}

/// Sends a whole request and reads the answer after the refusal.
fn send_at_once(gateway: &TestGateway, head: &str, length: usize, outcome: &str) -> Caller {
    let mut caller = gateway.caller();
    let body = "x".repeat(length);
    caller.write(&format!("{head}Content-Length: {length}\r\n\r\n{body}"));
    wait_for_refusal(gateway, outcome);
    caller
}

fn read_complete(caller: &mut Caller) -> Reply {
    let reply = caller.read_reply().unwrap();
    assert!(reply.is_complete, "{reply:?}");
    reply
}

fn is_kept(reply: &Reply) -> bool {
    reply.header("connection") != Some("close")
}

fn assert_usable(caller: &mut Caller) {
    caller.write(&format!("GET /once/ HTTP/1.1\r\n{HEAD}\r\n"));
    assert_eq!(read_complete(caller).status, 200);
}

#[test]
fn a_caller_that_still_sends_a_refused_request_gets_the_answer() {
    let endpoint = endpoint();
    for send in [send_in_parts, send_at_once] {
        let gateway = start(&endpoint, BODY_BYTES, 3_000);
        let no_route = format!("POST /nowhere/ HTTP/1.1\r\n{HEAD}");
        let no_key = "POST /once/ HTTP/1.1\r\nHost: claims.example\r\n";
        let no_id = "POST /open/ HTTP/1.1\r\nHost: claims.example\r\n";
        for (head, status, outcome) in [
            (no_route.as_str(), 404, "no_route"),
            (no_key, 401, "unknown_key"),
            (no_id, 400, "request_id_missing"),
        ] {
            let mut caller = send(&gateway, head, BODY_BYTES, outcome);
            let reply = read_complete(&mut caller);
            assert_eq!(reply.status, status);
            assert!(is_kept(&reply), "{reply:?}");
            assert_usable(&mut caller);
        }
    }
}

#[test]
fn a_caller_that_still_sends_chunks_of_a_refused_request_gets_the_answer() {
    let endpoint = endpoint();
    let gateway = start(&endpoint, BODY_BYTES, 3_000);
    let mut caller = gateway.caller();
    let framing = "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    caller.write(&format!("POST /nowhere/ HTTP/1.1\r\n{HEAD}{framing}"));
    wait_for_refusal(&gateway, "no_route");
    let chunk = "x".repeat(0x1_0000);
    for _ in 0..20 {
        caller.write(&format!("10000\r\n{chunk}\r\n"));
    }
    caller.write("0\r\n\r\n");
    let reply = read_complete(&mut caller);
    assert_eq!(reply.status, 404);
    assert!(is_kept(&reply), "{reply:?}");
    assert_usable(&mut caller);
}

#[test]
fn a_caller_that_still_sends_gets_the_refusal_of_a_gateway_without_configuration() {
    let gateway = TestGateway::unconfigured(|_| ());
    let head = format!("POST /once/ HTTP/1.1\r\n{HEAD}");
    let mut caller = send_in_parts(&gateway, &head, BODY_BYTES, "starting");
    let reply = read_complete(&mut caller);
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn a_caller_that_still_sends_a_body_over_the_limit_gets_the_answer() {
    let endpoint = endpoint();
    let head = format!("POST /once/ HTTP/1.1\r\n{HEAD}");
    for send in [send_in_parts, send_at_once] {
        let gateway = start(&endpoint, BODY_BYTES, 3_000);
        let mut caller = send(&gateway, &head, BODY_BYTES + 1, "body_too_large");
        let reply = read_complete(&mut caller);
        assert_eq!((reply.status, reply.header("connection")), (413, Some("close")));
        assert!(caller.is_closed());
    }
}

#[test]
fn a_caller_that_sends_chunks_over_the_limit_gets_the_answer() {
    let endpoint = endpoint();
    let gateway = start(&endpoint, 200_000, 3_000);
    let mut caller = gateway.caller();
    caller.write(&format!("POST /once/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n"));
    let chunk = "x".repeat(0x1_0000);
    for _ in 0..4 {
        caller.write(&format!("10000\r\n{chunk}\r\n"));
    }
    wait_for_refusal(&gateway, "body_too_large");
    caller.write(&format!("10000\r\n{chunk}\r\n0\r\n\r\n"));
    assert_eq!(read_complete(&mut caller).status, 413);
}

/// The answer does not wait for the body, and the wait for the body is bounded.
#[test]
fn a_caller_that_never_sends_the_rest_is_refused_at_once_and_cut_off_after_the_time_limit() {
    let endpoint = endpoint();
    let gateway = start(&endpoint, BODY_BYTES, 1_500);
    let mut caller = gateway.caller();
    let started = Instant::now();
    caller.write(&format!("POST /nowhere/ HTTP/1.1\r\n{HEAD}Content-Length: 1000\r\n\r\nx"));
    assert_eq!(read_complete(&mut caller).status, 404);
    assert!(started.elapsed() < Duration::from_millis(1_000), "{:?}", started.elapsed());
    assert!(caller.is_closed());
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
}

#[test]
fn a_refused_body_without_end_is_cut_off_at_the_size_limit() {
    let endpoint = endpoint();
    let gateway = start(&endpoint, 100_000, 60_000);
    let mut caller = gateway.caller();
    caller.write(&format!("POST /nowhere/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n"));
    assert_eq!(read_complete(&mut caller).status, 404);
    let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
    let is_cut = (0..1_000).any(|_| !caller.try_write(&chunk));
    assert!(is_cut, "64 MB were read");
}

/// A caller that waits for `100 Continue` may not send the body after a refusal.
#[test]
fn a_caller_that_asks_before_it_sends_a_refused_body_is_not_asked_for_it() {
    let endpoint = endpoint();
    let gateway = start(&endpoint, BODY_BYTES, 300);
    let too_large = BODY_BYTES + 1;
    for (path, length, status) in [("nowhere", 1_000, 404), ("once", too_large, 413)] {
        let mut caller = gateway.caller();
        let framing = format!("Content-Length: {length}\r\nExpect: 100-continue\r\n");
        caller.write(&format!("POST /{path}/ HTTP/1.1\r\n{HEAD}{framing}\r\n"));
        let reply = read_complete(&mut caller);
        assert_eq!((reply.status, reply.header("connection")), (status, Some("close")));
        assert!(caller.is_closed());
    }
}
