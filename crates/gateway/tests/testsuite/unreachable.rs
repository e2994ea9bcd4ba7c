//! Gateways that reach the callers and each other, but not the endpoints.

use std::{
    net,
    time::{Duration, Instant},
};

use trefoildyke_decide::gateway::{Peer, Strength};

use crate::harness::{Endpoint, Step, TestGateway, entries};

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

    /// Sends requests to the isolated gateway until it may be expected to have noticed.
    fn wait_for_contact(&self) {
        let end = Instant::now() + CONTACT_TIME;
        while Instant::now() < end {
            let _ = self.isolated.request("GET /again/");
        }
    }

    fn received(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.requests().len()).sum()
    }
}

/// Returns the number of `count` requests that are answered with 200 at the first attempt.
fn served(gateway: &TestGateway, line: &str, count: usize) -> usize {
    (0..count).filter(|_| gateway.request(line).is_some_and(|reply| reply.status == 200)).count()
}

/// Guards against callers of such a host being served far worse than those of others.
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
