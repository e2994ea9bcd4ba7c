//! Answers whose head breaks off.

use std::time::Duration;

use crate::harness::{Endpoint, Step, TestGateway};

/// Whole answers of each framing, to the request `r1`.
const ANSWERS: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: r1\r\ntrefoildyke-seal: s\r\nContent-Length: 7\r\n\r\nid: 1\n\n",
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: r1\r\ntrefoildyke-seal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: r1\r\ntrefoildyke-seal: s\r\nConnection: close\r\n\r\nid: 1\n\n",
];

/// Returns a script for each place within the head of `answer`, at which it ends in the way `end`.
fn cut_heads(answer: &'static str, end: &Step) -> Vec<Vec<Step>> {
    let head = answer.find("\r\n\r\n").unwrap() + 4;
    (1..head).map(|length| vec![Step::Raw(&answer[..length]), end.clone()]).collect()
}

/// Asks for each of the cut answers and returns the statuses, of whole answers only.
fn statuses(gateway: &TestGateway, line: &str, count: usize) -> Vec<u16> {
    let replies = (0..count).filter_map(|_| gateway.request(line));
    replies.filter(|reply| reply.is_complete).map(|reply| reply.status).collect()
}

/// Guards against a head that breaks off and is passed on as a whole answer with an empty or short body.
#[test]
fn an_answer_whose_head_breaks_off_is_no_success() {
    for answer in ANSWERS {
        for end in [Step::Close, Step::Reset] {
            for line in ["GET /once/", "POST /stream/"] {
                let scripts = cut_heads(answer, &end);
                let count = scripts.len();
                let endpoint = Endpoint::start(scripts);
                let gateway = TestGateway::unconfigured(|settings| {
                    // The endpoint is not paused, and the request not quarantined, for its many failures.
                    settings.pool.pause = Duration::ZERO;
                    settings.quarantine.min_crashes = usize::MAX;
                });
                gateway.configure(&[&endpoint]);
                let statuses = statuses(&gateway, line, count);
                assert_eq!(endpoint.requests().len(), count, "{line}, {end:?}");
                assert_eq!(statuses, vec![502; count], "{line}, {end:?}: {answer}");
            }
        }
    }
}

/// Guards against a head that breaks off and ends a request that another endpoint can still answer.
#[test]
fn a_request_that_may_be_repeated_is_answered_by_another_endpoint_if_a_head_breaks_off() {
    let broken = Endpoint::start(cut_heads(ANSWERS[0], &Step::Close));
    let sound = Endpoint::start(vec![vec![Step::Answer("whole")]]);
    let gateway = TestGateway::start(&[&broken, &sound]);
    for _ in 0..20 {
        let reply = gateway.request("GET /again/").unwrap();
        assert_eq!((reply.status, reply.body.as_str()), (200, "whole"));
    }
    assert!(!broken.requests().is_empty());
}

/// Guards against a stream that ends as complete where the head of its rest breaks off.
#[test]
fn a_stream_is_broken_off_if_the_head_of_its_rest_breaks_off() {
    for answer in ANSWERS {
        let first =
            Endpoint::start(vec![vec![Step::Stream, Step::Events("id: 1\n\n"), Step::Reset]]);
        let rest = Endpoint::start(cut_heads(answer, &Step::Close));
        let gateway = TestGateway::start(&[&first, &rest]);
        for _ in 0..10 {
            let reply = gateway.request("POST /resume/").unwrap();
            assert!(!(reply.status == 200 && reply.is_complete), "{answer}: {reply:?}");
        }
        assert!(!rest.requests().is_empty());
    }
}
