//! Requests that are not what they should be.

use crate::harness::{Endpoint, Stack, Step};

/// Sends raw bytes and returns the status of the answer and how many requests the endpoint saw.
fn sent(bytes: &str) -> (Option<u16>, usize) {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    let mut caller = stack.caller();
    caller.write(bytes);
    let status = caller.reply().map(|reply| reply.status);
    (status, endpoint.seen().len())
}

const HEAD: &str = "Host: claims.example\r\ntrefoildyke-request-id: r\r\ntrefoildyke-key: k1\r\n";

#[test]
fn a_body_beyond_the_limit_is_refused() {
    let body = "x".repeat(1_001);
    let request = format!("POST /once/ HTTP/1.1\r\n{HEAD}Content-Length: 1001\r\n\r\n{body}");
    assert_eq!(sent(&request), (Some(413), 0));
}

#[test]
fn a_head_beyond_the_limit_is_refused() {
    let filler = "y".repeat(40_000);
    let request = format!("GET /once/ HTTP/1.1\r\n{HEAD}X-Filler: {filler}\r\n\r\n");
    assert_eq!(sent(&request), (Some(431), 0));
}

#[test]
fn a_request_without_an_id_is_refused() {
    let request = "GET /once/ HTTP/1.1\r\nHost: claims.example\r\ntrefoildyke-key: k1\r\n\r\n";
    assert_eq!(sent(request), (Some(400), 0));
}

#[test]
fn chunked_bodies_arrive_whole_and_under_one_framing() {
    let request = format!(
        "POST /once/ HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n\
         5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
    );
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    let mut caller = stack.caller();
    caller.write(&request);
    assert_eq!(caller.reply().unwrap().status, 200);
    let seen = endpoint.seen().remove(0);
    assert!(seen.ends_with("\r\n\r\nhello world"), "{seen}");
    assert!(!seen.to_ascii_lowercase().contains("transfer-encoding"), "{seen}");
}

/// Sends a request with this framing and one hidden in its body; says what became of both.
fn hidden(framing: &str) -> (Option<u16>, bool) {
    let hidden = "GET /once/hidden HTTP/1.1\r\nHost: claims.example\r\n\
                  trefoildyke-request-id: h\r\ntrefoildyke-key: k1\r\n\r\n";
    let framing = framing.replace("LENGTH", &hidden.len().to_string());
    let request = format!("POST /once/ HTTP/1.1\r\n{HEAD}{framing}\r\n{hidden}");
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    let mut caller = stack.caller();
    caller.write(&request);
    let status = caller.reply().map(|reply| reply.status);
    std::thread::sleep(std::time::Duration::from_millis(100));
    let ran = endpoint.seen().iter().any(|seen| seen.starts_with("GET /once/hidden"));
    (status, ran)
}

#[test]
fn a_request_whose_end_is_not_clear_is_refused_with_all_that_follows_it() {
    for framing in [
        "Content-Length: 0\r\nContent-Length: LENGTH\r\n",
        "Content-Length: LENGTH, 0\r\n",
        "Content-Length: +LENGTH\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ] {
        assert_eq!(hidden(framing), (Some(400), false), "{framing}");
    }
}

#[test]
fn what_a_length_covers_is_a_body_and_no_request() {
    assert_eq!(hidden("Content-Length: LENGTH\r\n"), (Some(200), false));
}
