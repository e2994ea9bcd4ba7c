//! Answers whose framing is ambiguous.

use crate::harness::{Endpoint, Step, TestGateway};

/// The end of the head of an answer, and its body, in chunks and plain.
const CHUNKS: &str = "\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n";
const PLAIN: &str = "\r\nid: 1\n\n";

/// The stated framings of faulty endpoints, and the bytes that follow.
const FAULTY: [(&str, &str); 12] = [
    ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", CHUNKS),
    ("Content-Length: 7\r\nTransfer-Encoding: chunked\r\n", CHUNKS),
    ("Transfer-Encoding: chunked\r\nContent-Length: 70\r\n", CHUNKS),
    ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", CHUNKS),
    ("Transfer-Encoding: chunked, chunked\r\n", CHUNKS),
    ("Transfer-Encoding: gzip, chunked\r\n", CHUNKS),
    ("Transfer-Encoding: gzip\r\nConnection: close\r\n", PLAIN),
    ("Content-Length: 7\r\nContent-Length: 9\r\n", PLAIN),
    ("Content-Length: 7\r\nContent-Length: 7\r\n", PLAIN),
    ("Content-Length: 7, 7\r\n", PLAIN),
    ("Content-Length: +7\r\n", PLAIN),
    ("Content-Length: seven\r\n", PLAIN),
];

fn answer(framing: &str, bytes: &str) -> Vec<Step> {
    let head = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: r1\r\ntrefoildyke-seal: s\r\n";
    // Scripts live as long as the test process.
    vec![Step::Raw(format!("{head}{framing}{bytes}").leak()), Step::Close]
}

/// Guards against an answer that is passed on with another length than that of its body.
#[test]
fn an_answer_with_ambiguous_framing_is_not_passed_on() {
    for (framing, bytes) in FAULTY {
        let endpoint = Endpoint::start(vec![answer(framing, bytes)]);
        let gateway = TestGateway::start(&[&endpoint]);
        for line in ["GET /once/", "POST /stream/"] {
            let reply = gateway.request(line).unwrap();
            assert_eq!(reply.status, 502, "{line}: {framing}");
        }
    }
}

/// Guards against reusing a connection on which the rest of an ambiguous answer may follow.
#[test]
fn a_request_that_may_be_repeated_is_answered_by_another_endpoint_if_a_framing_is_ambiguous() {
    for (framing, bytes) in FAULTY {
        let faulty = Endpoint::start(vec![answer(framing, bytes)]);
        let sound = Endpoint::start(vec![vec![Step::Answer("whole")]]);
        let gateway = TestGateway::start(&[&faulty, &sound]);
        for _ in 0..4 {
            let reply = gateway.request("GET /again/").unwrap();
            assert_eq!((reply.status, reply.body.as_str()), (200, "whole"), "{framing}");
        }
        assert_eq!(faulty.closed(), faulty.requests().len(), "{framing}");
    }
}

#[test]
fn answers_with_a_plain_framing_are_passed_on() {
    for (framing, bytes) in [
        ("Transfer-Encoding: Chunked\r\n", CHUNKS),
        ("Content-Length: 7\r\n", PLAIN),
        ("Connection: close\r\n", PLAIN),
    ] {
        let endpoint = Endpoint::start(vec![answer(framing, bytes)]);
        let gateway = TestGateway::start(&[&endpoint]);
        for line in ["GET /once/", "POST /stream/"] {
            let reply = gateway.request(line).unwrap();
            let received = (reply.status, reply.body.as_str(), reply.is_complete);
            assert_eq!(received, (200, "id: 1\n\n", true), "{line}: {framing}");
        }
    }
}
