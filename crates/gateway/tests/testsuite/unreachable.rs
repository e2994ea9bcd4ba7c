//! Gateways that reach the callers and each other, but not the endpoints.

use std::{
    net,
    time::{Duration, Instant},
};

use trefoildyke_decide::gateway::{Peer, Strength};

use crate::harness::{Caller, Endpoint, Step, TestGateway, entries};

/// The time after which callers of a host without links to the endpoints must be served like the others.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// An address that refuses connections, as no socket listens there.
struct ClosedPort {
    socket: socket2::Socket,
}

impl ClosedPort {
    fn bind() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        let any: net::SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&any.into()).unwrap();
        Self { socket }
    }

    fn address(&self) -> net::SocketAddr {
        self.socket.local_addr().unwrap().as_socket().unwrap()
    }
}

/// Two gateways with the same endpoints, which only the second one reaches.
struct Cut {
    endpoints: Vec<Endpoint>,
    _closed: Vec<ClosedPort>,
    isolated: TestGateway,
    linked: TestGateway,
}

impl Cut {
    fn start(script: &[Step]) -> Self {
        let endpoints: Vec<_> = (0..4).map(|_| Endpoint::start(vec![script.to_vec()])).collect();
        let all: Vec<_> = endpoints.iter().collect();
        let (isolated, linked) = (TestGateway::start(&all), TestGateway::start(&all));
        let closed: Vec<_> = all.iter().map(|_| ClosedPort::bind()).collect();
        let mut list = entries(&all);
        for (entry, port) in list.iter_mut().zip(&closed) {
            entry.address = port.address();
        }
        isolated.feed.set_endpoints(list);
        let peer = |gateway: &TestGateway| Peer {
            address: gateway.addresses.peers,
            strength: Strength::UNKNOWN,
        };
        let members = [peer(&isolated), peer(&linked)];
        isolated.feed.set_members(&members);
        linked.feed.set_members(&members);
        Self { endpoints, _closed: closed, isolated, linked }
    }

    /// Sends requests to the isolated gateway for the time in which it has to detect its isolation.
    fn wait_for_contact(&self) {
        let end = Instant::now() + CONTACT_TIME;
        while Instant::now() < end {
            let _ = self.isolated.request("GET /again/");
        }
    }

    /// Sends requests to the isolated gateway until one runs behind a tunnel.
    fn send_until_one_runs(&self) -> Vec<Caller> {
        let end = Instant::now() + CONTACT_TIME;
        let mut callers = Vec::new();
        while self.received() == 0 {
            assert!(Instant::now() < end, "no request has reached an endpoint");
            let mut caller = self.isolated.caller();
            let headers = [("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")];
            caller.send("GET /once/", &headers, "");
            callers.push(caller);
            std::thread::sleep(Duration::from_millis(20));
        }
        callers
    }

    fn closed(&self) -> usize {
        self.endpoints.iter().map(Endpoint::closed).sum()
    }

    fn received(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.requests().len()).sum()
    }
}

/// Returns the number of `count` requests that are answered with 200 at the first attempt.
fn served(gateway: &TestGateway, line: &str, count: usize) -> usize {
    (0..count).filter(|_| gateway.request(line).is_some_and(|reply| reply.status == 200)).count()
}

/// Guards against failed requests at a host that is cut off from all endpoints while other hosts reach them.
#[test]
fn requests_at_a_gateway_that_reaches_no_endpoint_are_served() {
    let cut = Cut::start(&[Step::Answer("x")]);
    cut.wait_for_contact();
    for line in ["GET /again/", "GET /once/"] {
        let before = cut.received();
        let others = served(&cut.linked, line, 20);
        let isolated = served(&cut.isolated, line, 20);
        assert!(isolated * 3 >= others * 2, "{line}: {isolated} of 20, {others} at the other");
        assert_eq!(cut.received() - before, others + isolated, "each request is sent once");
    }
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
                    Connection: close\r\n\r\nall of it";

/// Guards against a broken answer that looks complete, since a tunnel ends like a connection that was closed.
#[test]
fn an_answer_without_length_is_complete_on_close_but_not_on_reset_behind_a_tunnel() {
    let pause = Step::Pause(Duration::from_millis(100));
    for (end, expected) in [(Step::Close, 200), (Step::Reset, 502)] {
        let cut = Cut::start(&[Step::Raw(HEAD), pause.clone(), end]);
        TestGateway::wait_until("the host counts as isolated", || {
            cut.isolated.request("GET /once/");
            cut.received() > 0
        });
        let before = cut.received();
        let reply = cut.isolated.request("GET /once/").unwrap();
        assert_eq!((reply.status, cut.received() - before), (expected, 1));
    }
}

/// Guards against endpoints that continue to run requests whose callers have disconnected.
#[test]
fn an_endpoint_behind_a_tunnel_learns_at_once_that_the_caller_has_left() {
    let cut = Cut::start(&[Step::AwaitClose]);
    let callers = cut.send_until_one_runs();
    let left_at = Instant::now();
    drop(callers);
    TestGateway::wait_until("the connections are closed", || cut.closed() == cut.received());
    assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
}

/// Guards against bytes without end that are no answer, which the forwarding gateway does not check.
#[test]
fn bytes_without_end_behind_a_tunnel_are_no_answer() {
    for bytes in ["x", "HTTP/1.1 100 Continue\r\n\r\n"] {
        let cut = Cut::start(&[Step::Endless(bytes)]);
        cut.isolated.reconfigure(2, |config| config.routes[0].timeout_ms = 30_000);
        let mut callers = cut.send_until_one_runs();
        TestGateway::wait_until("the connections are closed", || cut.closed() == cut.received());
        let statuses: Vec<_> =
            callers.iter_mut().filter_map(Caller::read_reply).map(|reply| reply.status).collect();
        assert!(statuses.contains(&502), "{bytes}: {statuses:?}");
        assert!(!statuses.contains(&200), "{bytes}: {statuses:?}");
    }
}

/// Guards against cutting off requests of other hosts during a planned stop.
#[test]
fn a_stopping_gateway_finishes_the_requests_that_it_forwards() {
    let cut = Cut::start(&[Step::Pause(Duration::from_millis(1_000)), Step::Answer("x")]);
    let mut callers = cut.send_until_one_runs();
    let Cut { isolated: _isolated, linked, endpoints, _closed } = cut;
    assert_eq!(linked.stop(), 0);
    let answered = callers.iter_mut().filter_map(Caller::read_reply);
    let served = answered.filter(|reply| reply.status == 200).count();
    let received: usize = endpoints.iter().map(|endpoint| endpoint.requests().len()).sum();
    assert_eq!(served, received, "each request that was forwarded is answered");
}

/// A stream, or a plain answer, that ends with its connection; the endpoint goes on after its first part.
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
                        Connection: close\r\n\r\nid: 1\n\n";

/// Guards against a broken answer that looks complete: the system closes the connections of a gateway that is
/// killed in the ordinary way.
#[test]
fn an_answer_without_length_is_broken_off_when_the_forwarding_gateway_is_lost() {
    for line in ["POST /stream/", "GET /once/"] {
        let cut = Cut::start(&[Step::Raw(UNFRAMED), Step::AwaitClose]);
        let _running = cut.send_until_one_runs();
        let before = cut.received();
        let mut caller = cut.isolated.caller();
        caller.send(line, &[("trefoildyke-request-id", "r1"), ("trefoildyke-key", "k1")], "");
        TestGateway::wait_until("the request runs", || cut.received() > before);
        // Lets the first part of the answer arrive.
        std::thread::sleep(Duration::from_millis(100));
        let Cut { isolated: _isolated, linked, .. } = cut;
        drop(linked);
        let reply = caller.read_reply().unwrap();
        let is_success = reply.status == 200 && reply.is_complete;
        assert!(!is_success, "{line}: {reply:?}");
    }
}

/// Guards against a head that breaks off behind a tunnel and is passed on as a whole answer.
#[test]
fn an_answer_whose_head_breaks_off_behind_a_tunnel_is_no_success() {
    let head = UNFRAMED.find("\r\n\r\n").unwrap() + 4;
    for length in [9, 17, 40, head - 4, head - 2, head - 1] {
        for end in [Step::Close, Step::Reset] {
            let cut = Cut::start(&[Step::Raw(&UNFRAMED[..length]), end]);
            TestGateway::wait_until("a request runs behind a tunnel", || {
                for line in ["GET /once/", "POST /stream/"] {
                    let reply = cut.isolated.request(line);
                    let is_success = reply.is_some_and(|reply| reply.status == 200);
                    assert!(!is_success, "{line}: {length} bytes of the head");
                }
                cut.received() > 3
            });
        }
    }
}
