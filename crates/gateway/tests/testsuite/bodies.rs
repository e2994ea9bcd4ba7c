//! The memory for the bodies of callers' requests.

use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::harness::{Caller, Endpoint, Reply, Step, TestGateway};

/// The memory for bodies, the largest body that is allowed, and one of which two do not fit.
const MEMORY: usize = 256 << 10;
const MAX_BODY: usize = 400 << 10;
const LARGE: usize = 120 << 10;

fn start(endpoint: &Endpoint) -> TestGateway {
    let gateway = TestGateway::unconfigured(|settings| settings.body_memory = MEMORY);
    gateway.configure(&[endpoint]);
    gateway.reconfigure(2, |config| {
        config.limits.body_bytes = MAX_BODY;
        config.routes.iter_mut().for_each(|route| route.timeout_ms = 8_000);
    });
    gateway
}

fn send(gateway: &TestGateway, id: &str, length: usize) -> Caller {
    let mut caller = gateway.caller();
    let headers = [
        ("trefoildyke-request-id", id),
        ("trefoildyke-key", "k1"),
        ("trefoildyke-deadline-ms", "8000"),
    ];
    caller.send("POST /once/", &headers, &"x".repeat(length));
    caller
}

/// Returns the replies to `callers` in the order in which they come.
fn replies(callers: Vec<Caller>) -> mpsc::Receiver<Reply> {
    let (sender, replies) = mpsc::channel();
    for mut caller in callers {
        let sender = sender.clone();
        // The thread ends with its reply.
        std::thread::spawn(move || sender.send(caller.read_reply().unwrap()));
    }
    replies
}

/// Guards against bodies of the allowed length that together exceed the memory of a process.
#[test]
fn large_bodies_at_once_are_kept_within_the_memory_for_them() {
    let endpoint = Endpoint::start(vec![vec![Step::Hold, Step::Answer("x")]]);
    let gateway = start(&endpoint);
    let callers = (0..3).map(|number| send(&gateway, &format!("r{number}"), LARGE)).collect();
    TestGateway::wait_until("one is sent", || endpoint.requests().len() == 1);
    // Small requests are served meanwhile.
    let mut small = send(&gateway, "small", 1_000);
    TestGateway::wait_until("a small one is sent", || endpoint.requests().len() == 2);
    let replies = replies(callers);
    for refused in replies.iter().take(2) {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.body.contains("body_memory") && refused.header("retry-after").is_some());
    }
    (0..2).for_each(|_| endpoint.release_one());
    assert_eq!(small.read_reply().unwrap().status, 200);
    assert_eq!(replies.recv().unwrap().status, 200);
    assert_eq!(endpoint.requests().len(), 2, "a refused request does not run");
}

/// Guards against refusing bodies although the memory is free a moment later.
#[test]
fn a_large_body_waits_for_memory() {
    let endpoint =
        Endpoint::start(vec![vec![Step::Pause(Duration::from_millis(50)), Step::Answer("x")]]);
    let gateway = start(&endpoint);
    let mut callers: Vec<_> =
        (0..3).map(|number| send(&gateway, &format!("r{number}"), LARGE)).collect();
    let started = Instant::now();
    for caller in &mut callers {
        assert_eq!(caller.read_reply().unwrap().status, 200);
    }
    assert!(started.elapsed() >= Duration::from_millis(100), "one after the other");
}

/// Guards against a body that never fits because it is longer than all the memory for bodies.
#[test]
fn the_longest_body_is_served_alone() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = start(&endpoint);
    for id in ["r1", "r2"] {
        assert_eq!(send(&gateway, id, MAX_BODY).read_reply().unwrap().status, 200);
    }
    assert_eq!(send(&gateway, "r3", MAX_BODY + 1).read_reply().unwrap().status, 413);
}

/// Guards against bodies without a stated length that take memory which is not counted.
#[test]
fn bodies_in_chunks_are_kept_within_the_memory_for_them() {
    let endpoint = Endpoint::start(vec![vec![Step::Hold, Step::Answer("x")]]);
    let gateway = start(&endpoint);
    let chunk = format!("{:x}\r\n{}\r\n", LARGE, "x".repeat(LARGE));
    let callers: Vec<_> = (0..3)
        .map(|number| {
            let mut caller = gateway.caller();
            caller.write(&format!(
                "POST /once/ HTTP/1.1\r\nHost: claims.example\r\ntrefoildyke-request-id: r{number}\r\n\
                 trefoildyke-key: k1\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}0\r\n\r\n"
            ));
            caller
        })
        .collect();
    TestGateway::wait_until("one is sent", || endpoint.requests().len() == 1);
    let replies = replies(callers);
    for refused in replies.iter().take(2) {
        assert_eq!(refused.status, 503, "{refused:?}");
    }
    assert_eq!(endpoint.requests().len(), 1, "the others had no memory");
    endpoint.release_one();
    assert_eq!(replies.recv().unwrap().status, 200);
    assert!(endpoint.requests()[0].ends_with(&"x".repeat(LARGE)));
}
