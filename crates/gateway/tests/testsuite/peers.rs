//! Several gateways with the same endpoints.

use std::{net, sync, sync::atomic, thread, time::Duration};

use trefoildyke_decide::gateway::{
    AccountUnit, Ask, Charge, Digest, Mesh, Message, Peer, PlaceReply, Placed, PoolRequest,
    Strength,
};
use trefoildyke_types::time::Timestamp;

use crate::harness::{Endpoint, Step, TestGateway};

fn peer(address: net::SocketAddr) -> Peer {
    Peer { address, strength: Strength::UNKNOWN }
}

pub(crate) fn connect(gateways: &[TestGateway]) {
    let members: Vec<_> = gateways.iter().map(|gateway| peer(gateway.addresses.peers)).collect();
    for gateway in gateways {
        gateway.feed.set_members(&members);
    }
    // Each gateway sends the others a digest at least every quarter of a second.
    thread::sleep(Duration::from_millis(400));
}

/// Four slots, and eight requests at two gateways: no more than four run at a time.
#[test]
fn connected_gateways_do_not_exceed_the_slots_of_an_endpoint() {
    let script = vec![Step::Pause(Duration::from_millis(300)), Step::Answer("x")];
    let endpoint = Endpoint::start(vec![script]);
    let gateways = [TestGateway::start(&[&endpoint]), TestGateway::start(&[&endpoint])];
    connect(&gateways);
    let send = |gateway: &TestGateway| {
        let mut caller = gateway.caller();
        caller.send(
            "GET /once/",
            &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")],
            "",
        );
        caller
    };
    let mut callers: Vec<_> = (0..4).map(|_| send(&gateways[0])).collect();
    thread::sleep(Duration::from_millis(150));
    callers.extend((0..4).map(|_| send(&gateways[1])));
    thread::sleep(Duration::from_millis(80));
    assert_eq!(endpoint.requests().len(), 4);
    for caller in &mut callers {
        assert_eq!(caller.read_reply().unwrap().status, 200);
    }
}

/// More time than a test takes.
const TEST_TIME: Duration = Duration::from_secs(60);

/// Four requests run, and more wait at each gateway: the more urgent ones go first, wherever they wait.
///
/// The slots become free one after the other. Two that are free at the same time would be granted in order, but
/// the requests could overtake each other on their way to the endpoint.
#[test]
fn the_most_urgent_request_of_all_gateways_is_sent_first() {
    let endpoint = Endpoint::start(vec![vec![Step::Hold, Step::Answer("x")]]);
    // An endpoint that answers nothing for a while would get one request at a time.
    let start = || TestGateway::unconfigured(|settings| settings.pool.silence = TEST_TIME);
    let gateways = [start(), start()];
    for gateway in &gateways {
        gateway.configure(&[&endpoint]);
        gateway.reconfigure(2, |config| {
            config.routes[1].priority = 2;
            for route in &mut config.routes {
                route.timeout_ms = TEST_TIME.as_millis() as u64;
            }
        });
    }
    connect(&gateways);
    let send = |gateway: &TestGateway, line: &str, id: &str| {
        let mut caller = gateway.caller();
        caller.send(line, &[("trefoildyke-request-id", id), ("trefoildyke-key", "k1")], "");
        caller
    };
    let sent = || endpoint.requests().len();
    let mut callers = Vec::new();
    for number in 0..4 {
        callers.push(send(&gateways[number % 2], "GET /again/", "running"));
        TestGateway::wait_until("it runs", || sent() > number);
    }
    callers.push(send(&gateways[0], "GET /again/", "lesser"));
    callers.push(send(&gateways[1], "GET /once/", "urgent"));
    callers.push(send(&gateways[1], "GET /again/", "lesser"));
    callers.push(send(&gateways[0], "GET /once/", "urgent"));
    let waiting = |gateway: &TestGateway| gateway.feed.waiting_count(&"svc".into());
    TestGateway::wait_until("four wait", || gateways.iter().map(waiting).sum::<usize>() == 4);
    assert_eq!(sent(), 4);
    for number in 4..8 {
        endpoint.release_one();
        TestGateway::wait_until("a slot is used again", || sent() > number);
    }
    (0..4).for_each(|_| endpoint.release_one());
    for caller in &mut callers {
        assert_eq!(caller.read_reply().unwrap().status, 200);
    }
    let requests = endpoint.requests();
    let order: Vec<_> = requests.iter().map(|request| request.contains("id: urgent")).collect();
    assert_eq!(order[4..], [true, true, false, false]);
}

/// A daemon that sends digests and is chosen to place requests, but replies to no request for a slot.
struct SilentPeer {
    address: net::SocketAddr,
    asked: sync::Arc<atomic::AtomicUsize>,
    ended: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl SilentPeer {
    fn start(others: Vec<net::SocketAddr>) -> Self {
        let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        let address = socket.local_addr().unwrap();
        let asked = sync::Arc::new(atomic::AtomicUsize::new(0));
        let ended = sync::Arc::new(atomic::AtomicBool::new(false));
        let (counted, is_over) = (sync::Arc::clone(&asked), sync::Arc::clone(&ended));
        let thread = thread::spawn(move || {
            let mut buffer = [0; 4_096];
            for number in 1.. {
                if is_over.load(atomic::Ordering::Relaxed) {
                    return;
                }
                let digest = Digest { incarnation: 1, number, ..Digest::default() };
                let bytes = rmp_serde::to_vec(&Message::Digest(digest)).unwrap();
                for other in &others {
                    socket.send_to(&bytes, other).unwrap();
                }
                while let Ok((length, _)) = socket.recv_from(&mut buffer) {
                    if let Ok(Message::Ask(_)) = rmp_serde::from_slice(&buffer[..length]) {
                        counted.fetch_add(1, atomic::Ordering::Relaxed);
                    }
                }
            }
        });
        Self { address, asked, ended, thread: Some(thread) }
    }
}

impl Drop for SilentPeer {
    fn drop(&mut self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

#[test]
fn a_request_is_served_when_its_placer_does_not_reply() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    // One of the silent daemons is asked before this gateway, because this one has just started.
    let peers: Vec<_> = (0..2).map(|_| SilentPeer::start(vec![gateway.addresses.peers])).collect();
    let members = peers.iter().map(|peer| peer.address).chain([gateway.addresses.peers]);
    gateway.feed.set_members(&members.map(peer).collect::<Vec<_>>());
    thread::sleep(Duration::from_millis(200));
    // The route's timeout is two seconds.
    assert_eq!(gateway.request("GET /once/").unwrap().status, 200);
    let asked = || peers.iter().map(|peer| peer.asked.load(atomic::Ordering::Relaxed)).sum();
    let before: usize = asked();
    assert!(before >= 2, "nobody was asked");
    // A daemon that did not reply is not asked again at once.
    assert_eq!(gateway.request("GET /once/").unwrap().status, 200);
    assert_eq!(asked(), before);
}

/// Returns the socket of a daemon that keeps the account's bucket only as second keeper, after the one at
/// `own`.
fn second_keeper(own: net::SocketAddr) -> net::UdpSocket {
    loop {
        let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut mesh = Mesh::new(own, Duration::from_secs(1));
        mesh.replace(Timestamp::ZERO, &[peer(own), peer(socket.local_addr().unwrap())]);
        if mesh.keepers(&"cascadia".into())[0] == own {
            return socket;
        }
    }
}

/// A charge that is not a number would fill the bucket, and a negative refund would empty it.
#[test]
fn charges_and_refunds_with_an_invalid_cost_are_ignored() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    // The quota is one request in two seconds, with a burst of four.
    gateway.reconfigure(2, |config| {
        config.accounts[0].rate = 0.5;
        config.accounts[0].burst = 4.0;
        config.accounts[0].unit = AccountUnit::Requests;
    });
    let own = gateway.addresses.peers;
    let socket = second_keeper(own);
    gateway.feed.set_members(&[peer(own), peer(socket.local_addr().unwrap())]);
    let send = |message: &Message| {
        socket.send_to(&rmp_serde::to_vec(message).unwrap(), own).unwrap();
    };
    let status = || gateway.request("GET /once/").unwrap().status;
    assert!((0..5).any(|_| status() == 429), "the bucket does not empty");
    for cost in [f64::NAN, f64::INFINITY, -1e300] {
        send(&Message::Charge(Charge { number: 1, account: "cascadia".into(), cost }));
    }
    send(&Message::Refund { account: "cascadia".into(), cost: f64::NAN });
    thread::sleep(Duration::from_millis(50));
    assert_eq!(status(), 429, "it is full again");
    send(&Message::Refund { account: "cascadia".into(), cost: -1e300 });
    thread::sleep(Duration::from_millis(2_500));
    assert_eq!(status(), 200, "it does not refill");
}

/// The reply to the first request for a slot is lost, so the daemon repeats the request.
#[test]
fn a_repeated_request_for_a_slot_gets_the_same_grant() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    let own = gateway.addresses.peers;
    gateway.feed.set_members(&[peer(own), peer(socket.local_addr().unwrap())]);
    let now = Timestamp::ZERO;
    let pool_request = PoolRequest {
        route: 0,
        rank: 0,
        zone: "a".into(),
        prompt: 0,
        parts: Vec::new(),
        expected_tokens: 0.0,
        max_pause: Duration::ZERO,
        objective: now + Duration::from_millis(300),
        leaves_at: now + Duration::from_secs(2),
        deadline: now + Duration::from_secs(2),
        returning: false,
        repeatable: true,
        tried: Vec::new(),
        version: None,
    };
    let ask = Message::Ask(Ask::new("svc".into(), 1, now, &pool_request));
    let mut buffer = [0; 4_096];
    let mut placed = || loop {
        socket.send_to(&rmp_serde::to_vec(&ask).unwrap(), own).unwrap();
        let (length, _) = socket.recv_from(&mut buffer).unwrap();
        if let Ok(Message::Placed(placed)) = rmp_serde::from_slice(&buffer[..length]) {
            return placed.reply;
        }
    };
    let first = placed();
    assert!(matches!(first, PlaceReply::Granted { given: 1, .. }), "{first:?}");
    assert_eq!(placed(), first, "a second place is held in vain");
}

#[test]
fn a_quota_holds_for_connected_and_for_disconnected_gateways() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateways = [TestGateway::start(&[&endpoint]), TestGateway::start(&[&endpoint])];
    for gateway in &gateways {
        gateway.reconfigure(2, |config| {
            config.accounts[0].rate = 10.0;
            config.accounts[0].burst = 20.0;
            config.accounts[0].unit = AccountUnit::Requests;
        });
    }
    connect(&gateways);
    // Each gateway has its own caller: a request that waits for a member that does not answer must not keep
    // the other gateway idle.
    let serve_one = |gateway: &TestGateway, end| {
        let mut served = 0;
        while std::time::Instant::now() < end {
            served += u32::from(gateway.request("GET /once/").unwrap().status == 200);
            thread::sleep(Duration::from_millis(20));
        }
        served
    };
    let serve = |seconds: u64| {
        let end = std::time::Instant::now() + Duration::from_secs(seconds);
        thread::scope(|scope| {
            let callers =
                gateways.each_ref().map(|gateway| scope.spawn(|| serve_one(gateway, end)));
            callers.into_iter().map(|caller| caller.join().unwrap()).sum::<u32>()
        })
    };
    // At most 12.5 per second, in addition to the bucket and what both gateways admit at the same moment.
    let served = serve(2);
    assert!((20..=45).contains(&served), "{served}");
    // Each gateway now has a member that does not exist in place of the other gateway.
    let missing: Vec<_> =
        (1..=1).map(|port| net::SocketAddr::from(([127, 0, 0, 1], port))).collect();
    for gateway in &gateways {
        let own = gateway.addresses.peers;
        gateway.feed.set_members(&[peer(own), peer(missing[0])]);
    }
    thread::sleep(Duration::from_millis(1_100));
    let served = serve(2);
    assert!((15..=45).contains(&served), "{served}");
}

/// Guards against two gateways together exceeding an endpoint's limit of two requests per second.
#[test]
fn gateways_together_keep_to_the_rate_limit_of_an_endpoint() {
    let limited = Step::Raw(
        "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: s\r\n\
         trefoildyke-rate-limit: 2.0\r\nContent-Length: 1\r\n\r\nx",
    );
    let limited = Endpoint::start(vec![vec![limited]]);
    let other = Endpoint::start(vec![vec![Step::Answer("y")]]);
    let gateways =
        [TestGateway::start(&[&limited, &other]), TestGateway::start(&[&limited, &other])];
    connect(&gateways);
    let send_requests = |duration| {
        let end = std::time::Instant::now() + duration;
        let mut number = 0;
        while std::time::Instant::now() < end {
            let reply = gateways[number % 2].request("GET /once/").unwrap();
            assert_eq!(reply.status, 200);
            thread::sleep(Duration::from_millis(5));
            number += 1;
        }
    };
    send_requests(Duration::from_millis(500));
    let (before, before_other) = (limited.requests().len(), other.requests().len());
    send_requests(Duration::from_millis(3_000));
    let count = limited.requests().len() - before;
    // The upper bound is one and a half times the limit plus five.
    assert!(count <= 14, "{count} requests in 3 s");
    assert!(count >= 4, "{count} requests in 3 s: the limit is not used");
    assert!(other.requests().len() - before_other > 100);
}

/// A daemon that places requests, but leaves its other messages unanswered.
struct BusyPlacer {
    socket: net::UdpSocket,
    gateway: net::SocketAddr,
    number: u64,
}

impl BusyPlacer {
    fn new(gateway: net::SocketAddr) -> Self {
        let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
        Self { socket, gateway, number: 0 }
    }

    fn address(&self) -> net::SocketAddr {
        self.socket.local_addr().unwrap()
    }

    fn send(&self, message: &Message) {
        self.socket.send_to(&rmp_serde::to_vec(message).unwrap(), self.gateway).unwrap();
    }

    /// Sends digests, and passes the other daemon's messages to `handle`, for `length`.
    fn run(&mut self, length: Duration, mut handle: impl FnMut(&Self, Message)) {
        let end = std::time::Instant::now() + length;
        let mut buffer = [0; 4_096];
        while std::time::Instant::now() < end {
            self.number += 1;
            let digest = Digest { incarnation: 1, number: self.number, ..Digest::default() };
            self.send(&Message::Digest(digest));
            while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                if let Ok(message) = rmp_serde::from_slice(&buffer[..length]) {
                    handle(self, message);
                }
            }
        }
    }

    /// Grants a slot to each request that asks for one.
    fn grant(&mut self, length: Duration) {
        self.run(length, |placer, message| {
            if let Message::Ask(ask) = message {
                placer.reply(ask.number, granted(1));
            }
        });
    }

    /// Queues the requests; returns the number of the last one.
    fn queue(&mut self, length: Duration) -> Option<u64> {
        let mut last = None;
        self.run(length, |placer, message| {
            if let Message::Ask(ask) = message {
                last = Some(ask.number);
                placer.reply(ask.number, PlaceReply::Queued { retry_ms: 100 });
            }
        });
        last
    }

    fn reply(&self, number: u64, reply: PlaceReply) {
        self.send(&Message::Placed(Placed { service: "svc".into(), number, reply }));
    }
}

fn granted(given: u64) -> PlaceReply {
    PlaceReply::Granted {
        endpoint: "e0".into(),
        given,
        unread: 0,
        first_ms: 0,
        beside: 0,
        ahead: 0,
        age_ms: 0,
    }
}

/// Guards against a request that gives up its place in the queue of a daemon which still replies to it: the
/// daemon that is asked next may refuse it.
#[test]
fn a_request_stays_queued_at_a_placer_that_is_late_with_other_replies() {
    let endpoint = Endpoint::start(vec![vec![Step::Hold, Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    // As far as the gateway knows, the first request takes the only slot.
    let mut list = crate::harness::entries(&[&endpoint]);
    list[0].slots = 1;
    gateway.feed.set_endpoints(list);
    let mut placer = BusyPlacer::new(gateway.addresses.peers);
    gateway.feed.set_members(&[peer(gateway.addresses.peers), peer(placer.address())]);
    let send = || {
        let mut caller = gateway.caller();
        let headers = [("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")];
        caller.send("GET /once/", &headers, "");
        caller
    };
    let mut first = send();
    placer.grant(Duration::from_millis(200));
    TestGateway::wait_until("the first request runs", || endpoint.requests().len() == 1);
    let mut second = send();
    placer.queue(Duration::from_millis(200)).expect("the placer was not asked");
    let queued = thread::scope(|scope| {
        let queued = scope.spawn(|| placer.queue(Duration::from_millis(700)));
        gateway.query_readers();
        queued.join().unwrap()
    });
    if let Some(number) = queued {
        placer.reply(number, granted(2));
    }
    TestGateway::wait_until("the second request runs", || endpoint.requests().len() == 2);
    (0..2).for_each(|_| endpoint.release_one());
    assert_eq!(first.read_reply().unwrap().status, 200);
    assert_eq!(second.read_reply().unwrap().status, 200);
}
