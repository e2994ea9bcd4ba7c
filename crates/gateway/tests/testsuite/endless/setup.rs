//! Endpoints that send without end, and checks of what becomes of their requests.

use std::time::{Duration, Instant};

use crate::harness::{Endpoint, Reply, Step, TestGateway};

/// The largest answer that is buffered, in bytes.
pub(super) const MAX_ANSWER: usize = 8 << 20;

/// The largest number of bytes of all answers that are being buffered.
pub(super) const MAX_BUFFERED: usize = 24 << 20;

/// The longest event of a stream, in bytes.
pub(super) const MAX_EVENT: usize = 256 << 10;

/// The largest number of bytes of an answer among which there is none of its body.
pub(super) const MAX_FRAMING: usize = 256 << 10;

/// The time of a request, in milliseconds: much longer than bytes that are no answer may be read.
pub(super) const LONG_MS: u64 = 30_000;

/// How soon bytes that are no answer are noticed; far sooner than the time of a request is up.
const SOON: Duration = Duration::from_secs(5);

/// The kinds of route.
pub(super) const ONCE: &str = "POST /once/";
pub(super) const AGAIN: &str = "GET /again/";
pub(super) const STREAM: &str = "POST /stream/";
pub(super) const RESUME: &str = "POST /resume/";

/// The head of an answer in chunks.
pub(super) const CHUNKED: Step = Step::Raw(
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
     Transfer-Encoding: chunked\r\n\r\n",
);

/// The head of an answer that ends with its connection.
pub(super) const UNFRAMED: Step = Step::Raw(
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
     Connection: close\r\n\r\n",
);

/// The head of an answer of a terabyte.
pub(super) const HUGE: Step = Step::Raw(
    "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
     Content-Length: 1099511627776\r\n\r\n",
);

/// Returns how many bytes of one connection the kernel may hold.
fn socket_buffers() -> usize {
    let largest = |name: &str| -> usize {
        let text = std::fs::read_to_string(format!("/proc/sys/net/ipv4/{name}")).unwrap();
        text.split_whitespace().next_back().unwrap().parse().unwrap()
    };
    largest("tcp_rmem") + largest("tcp_wmem")
}

/// An endpoint that sends without end, another one, and the gateway before them.
pub(super) struct Setup {
    pub(super) gateway: TestGateway,
    pub(super) first: Endpoint,
    second: Endpoint,
}

impl Setup {
    /// Starts an endpoint that follows `script` at its first request, and another one in another zone.
    pub(super) fn start(script: Vec<Step>) -> Self {
        Self::with_timeout(script, LONG_MS)
    }

    /// Starts the same with a timeout of each route.
    pub(super) fn with_timeout(script: Vec<Step>, timeout_ms: u64) -> Self {
        let rest = vec![Step::Stream, Step::Events("id: 9\ndata: z\n\n"), Step::EndStream];
        let first = Endpoint::start(vec![script, rest.clone()]);
        let second = Endpoint::start(vec![rest]);
        let gateway = TestGateway::start(&[&first, &second]);
        gateway.reconfigure(2, |config| {
            for route in &mut config.routes {
                route.timeout_ms = timeout_ms;
            }
        });
        let mut entries = crate::harness::entries(&[&first, &second]);
        entries[1].zone = "b".into();
        gateway.feed.set_endpoints(entries);
        Self { gateway, first, second }
    }

    /// Sends a request; returns the answer, or `None` if the connection ended without one.
    pub(super) fn send(&self, line: &str) -> Option<Reply> {
        let mut caller = self.gateway.caller();
        let started = Instant::now();
        let deadline = LONG_MS.to_string();
        let headers = [
            ("trefoildyke-request-id", "r1"),
            ("trefoildyke-key", "k1"),
            ("trefoildyke-deadline-ms", &deadline),
        ];
        caller.send(line, &headers, "");
        let reply = caller.read_reply();
        assert!(started.elapsed() < SOON, "{line} was answered after {:?}", started.elapsed());
        reply
    }

    /// Returns the number of requests at each endpoint.
    pub(super) fn runs(&self) -> (usize, usize) {
        (self.first.requests().len(), self.second.requests().len())
    }

    /// Returns the requests at the second endpoint.
    fn requests(&self) -> Vec<String> {
        self.second.requests()
    }

    /// Waits until the connection that is written without end is closed, and checks how much was written.
    pub(super) fn check_closed(&self, limit: usize, what: &str) {
        TestGateway::wait_until(what, || self.first.closed() >= 1);
        let written = self.first.endless_bytes();
        assert!(written <= limit + socket_buffers(), "{what}: {written} bytes");
    }

    /// Sends requests after the one that was answered without end.
    pub(super) fn check_next(&self, what: &str) {
        for line in [ONCE, AGAIN, STREAM, RESUME] {
            let reply = self.send(line).unwrap();
            assert_eq!((reply.status, reply.is_complete), (200, true), "{what}, then {line}");
        }
    }
}

/// Checks that bytes without end in place of a head count as an answer that has broken off.
pub(super) fn check_head(script: &[Step]) {
    for (line, status, runs) in
        [(ONCE, 502, (1, 0)), (AGAIN, 200, (1, 1)), (STREAM, 502, (1, 0)), (RESUME, 200, (1, 1))]
    {
        let what = format!("{line} {script:?}");
        let setup = Setup::start(script.to_vec());
        let reply = setup.send(line).unwrap();
        assert_eq!((reply.status, setup.runs()), (status, runs), "{what}\n{:?}", setup.requests());
        assert!(reply.is_complete, "{what}");
        setup.check_closed(MAX_FRAMING, &what);
        setup.check_next(&what);
    }
}

/// Checks that bytes without end in a body count as an answer that has broken off on each route.
pub(super) fn check_body(script: &[Step], limit: usize) {
    check_whole(script, limit);
    check_stream(script, limit);
}

/// Checks that a body without end counts as an answer that has broken off where answers are buffered.
pub(super) fn check_whole(script: &[Step], limit: usize) {
    for (line, status, runs) in [(ONCE, 502, (1, 0)), (AGAIN, 200, (1, 1))] {
        let what = format!("{line} {script:?}");
        let setup = Setup::start(script.to_vec());
        let reply = setup.send(line).unwrap();
        assert_eq!((reply.status, setup.runs()), (status, runs), "{what}\n{:?}", setup.requests());
        setup.check_closed(limit, &what);
        setup.check_next(&what);
    }
}

/// Checks that a body without end counts as a stream that has broken off.
pub(super) fn check_stream(script: &[Step], limit: usize) {
    for (line, is_complete, runs) in [(STREAM, false, (1, 0)), (RESUME, true, (1, 1))] {
        let what = format!("{line} {script:?}");
        let setup = Setup::start(script.to_vec());
        let reply = setup.send(line).filter(|reply| reply.is_complete);
        assert_eq!(
            (reply.is_some(), setup.runs()),
            (is_complete, runs),
            "{what}\n{:?}",
            setup.requests()
        );
        assert!(reply.is_none_or(|reply| reply.body.ends_with("id: 9\ndata: z\n\n")), "{what}");
        setup.check_closed(limit, &what);
        setup.check_next(&what);
    }
}
