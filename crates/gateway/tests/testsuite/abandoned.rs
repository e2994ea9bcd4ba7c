//! Requests that the gateway has given up before the endpoint has received them.

use std::{
    io::Read as _,
    net::{TcpListener, TcpStream},
    sync::mpsc,
    thread,
    time::Duration,
};

use trefoildyke_decide::gateway::{Limits, RosterEntry};

use crate::harness::TestGateway;

/// More than the endpoint's receive buffer holds, and less than the gateway's send buffer.
const BODY_LENGTH: usize = 100_000;

/// An endpoint that reads nothing at first, like one behind a link that holds up what is sent.
struct HeldUp {
    listener: TcpListener,
}

impl HeldUp {
    fn start() -> Self {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let free: std::net::SocketAddr = "127.0.0.1:0".parse().unwrap();
        socket.bind(&free.into()).unwrap();
        socket.listen(16).unwrap();
        Self { listener: socket.into() }
    }

    fn entry(&self) -> RosterEntry {
        RosterEntry {
            endpoint: "e0".into(),
            start: 0,
            service: "svc".into(),
            version: "v1".into(),
            address: self.listener.local_addr().unwrap(),
            zone: "a".into(),
            slots: 4,
            draining: false,
        }
    }

    fn accept(&self) -> TcpStream {
        self.listener.accept().unwrap().0
    }
}

/// Guards against a request that reaches an endpoint after its caller was told that there is no answer, and after it
/// was sent elsewhere.
#[test]
fn a_request_that_was_given_up_does_not_arrive_later() {
    let endpoint = HeldUp::start();
    let gateway = TestGateway::start(&[]);
    gateway.reconfigure(2, |config| {
        config.limits = Limits { body_bytes: 2 * BODY_LENGTH, ..Limits::default() };
    });
    gateway.feed.set_endpoints(vec![endpoint.entry()]);
    let mut caller = gateway.caller();
    let headers = [
        ("trefoildyke-request-id", "r1"),
        ("trefoildyke-key", "k1"),
        ("trefoildyke-deadline-ms", "3000"),
    ];
    caller.send("POST /once/", &headers, &"x".repeat(BODY_LENGTH));
    let mut stream = endpoint.accept();
    assert_eq!(caller.read_reply().unwrap().status, 504);
    // The connection is closed once the answer is on its way.
    thread::sleep(Duration::from_millis(200));
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes);
        sender.send(bytes.len()).unwrap();
    });
    let length = receiver.recv_timeout(Duration::from_secs(5)).unwrap();
    assert!(length < BODY_LENGTH, "the whole request arrived");
}
