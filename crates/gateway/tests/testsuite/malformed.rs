//! Malformed requests.

use crate::harness::{Endpoint, Step, TestGateway};

/// Sends raw bytes; returns the status of the answer and the number of requests at the endpoint.
fn send_bytes(bytes: &str) -> (Option<u16>, usize) {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    let mut caller = gateway.caller();
    caller.write(bytes);
    let status = caller.read_reply().map(|reply| reply.status);
    (status, endpoint.requests().len())
}

const HEAD: &str = "Host: claims.example\r\ntrefoildyke-request-id: r\r\ntrefoildyke-key: k1\r\n";

#[test]
fn a_body_over_the_limit_is_refused() {
    let body = "x".repeat(1_001);
    let request = format!("POST /once/ HTTP/1.1\r\n{HEAD}Content-Length: 1001\r\n\r\n{body}");
    assert_eq!(send_bytes(&request), (Some(413), 0));
}

#[test]
fn a_head_over_the_limit_is_refused() {
    let filler = "y".repeat(40_000);
    let request = format!("GET /once/ HTTP/1.1\r\n{HEAD}X-Filler: {filler}\r\n\r\n");
    assert_eq!(send_bytes(&request), (Some(431), 0));
}

#[test]
fn a_request_without_an_id_is_refused() {
    let request = "GET /once/ HTTP/1.1\r\nHost: claims.example\r\ntrefoildyke-key: k1\r\n\r\n";
    assert_eq!(send_bytes(request), (Some(400), 0));
}

#[test]
fn chunked_bodies_arrive_complete_and_with_one_framing() {
    let request = format!(
        "POST /once/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n\
         5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
    );
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    let mut caller = gateway.caller();
    caller.write(&request);
    assert_eq!(caller.read_reply().unwrap().status, 200);
    let request = endpoint.requests().remove(0);
    assert!(request.ends_with("\r\n\r\nhello world"), "{request}");
    assert!(!request.to_ascii_lowercase().contains("transfer-encoding"), "{request}");
}

/// Sends a request with this framing and a second request inside its body; returns the status and whether
/// the second one ran.
fn send_smuggled(framing: &str) -> (Option<u16>, bool) {
    let smuggled = "GET /once/hidden HTTP/1.1\r\nHost: claims.example\r\n\
                  trefoildyke-request-id: h\r\ntrefoildyke-key: k1\r\n\r\n";
    let framing = framing.replace("LENGTH", &smuggled.len().to_string());
    let request = format!("POST /once/ HTTP/1.1\r\n{HEAD}{framing}\r\n{smuggled}");
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    let mut caller = gateway.caller();
    caller.write(&request);
    let status = caller.read_reply().map(|reply| reply.status);
    std::thread::sleep(std::time::Duration::from_millis(100));
    let ran = endpoint.requests().iter().any(|request| request.starts_with("GET /once/hidden"));
    (status, ran)
}

#[test]
fn a_request_with_ambiguous_framing_is_refused_with_all_that_follows() {
    for framing in [
        "Content-Length: 0\r\nContent-Length: LENGTH\r\n",
        "Content-Length: LENGTH, 0\r\n",
        "Content-Length: +LENGTH\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ] {
        assert_eq!(send_smuggled(framing), (Some(400), false), "{framing}");
    }
}

#[test]
fn bytes_covered_by_content_length_are_not_a_request() {
    assert_eq!(send_smuggled("Content-Length: LENGTH\r\n"), (Some(200), false));
}
