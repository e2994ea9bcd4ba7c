//! Several gateways before the same endpoints.

use std::{net, sync, sync::atomic, thread, time::Duration};

use trefoildyke_decide::gateway::{
    AccountUnit, Ask, Charge, Demand, Digest, Mesh, Message, Peer, PlaceReply, Strength,
};
use trefoildyke_types::time::Timestamp;

use crate::harness::{Endpoint, Stack, Step};

fn peer(address: net::SocketAddr) -> Peer {
    Peer { address, strength: Strength::UNKNOWN }
}

fn meet(stacks: &[Stack]) {
    let members: Vec<_> = stacks.iter().map(|stack| peer(stack.addresses.peers)).collect();
    for stack in stacks {
        stack.feed.members(&members);
    }
    // Each tells the others at least every quarter of a second.
    thread::sleep(Duration::from_millis(400));
}

/// Four slots, and eight requests at two gateways: no more than four run at a time.
#[test]
fn gateways_that_hear_each_other_do_not_send_more_than_the_slots() {
    let script = vec![Step::Pause(Duration::from_millis(300)), Step::Answer("x")];
    let endpoint = Endpoint::start(vec![script]);
    let stacks = [Stack::start(&[&endpoint]), Stack::start(&[&endpoint])];
    meet(&stacks);
    let send = |stack: &Stack| {
        let mut caller = stack.caller();
        caller.send(
            "GET /once/",
            &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")],
            "",
        );
        caller
    };
    let mut callers: Vec<_> = (0..4).map(|_| send(&stacks[0])).collect();
    thread::sleep(Duration::from_millis(150));
    callers.extend((0..4).map(|_| send(&stacks[1])));
    thread::sleep(Duration::from_millis(80));
    assert_eq!(endpoint.seen().len(), 4);
    for caller in &mut callers {
        assert_eq!(caller.reply().unwrap().status, 200);
    }
}

/// Four requests run, and one more waits at each gateway: the more urgent one goes first, wherever
/// it is.
#[test]
fn the_most_urgent_request_of_all_gateways_goes_first() {
    let script = vec![Step::Pause(Duration::from_millis(500)), Step::Answer("x")];
    let endpoint = Endpoint::start(vec![script]);
    let stacks = [Stack::start(&[&endpoint]), Stack::start(&[&endpoint])];
    for stack in &stacks {
        stack.reconfigure(2, |config| config.routes[1].priority = 2);
    }
    meet(&stacks);
    let send = |stack: &Stack, line: &str, id: &str| {
        let mut caller = stack.caller();
        caller.send(line, &[("trefoildyke-request-id", id), ("trefoildyke-key", "k1")], "");
        thread::sleep(Duration::from_millis(20));
        caller
    };
    let mut callers = Vec::new();
    for number in 0..4 {
        callers.push(send(&stacks[number % 2], "GET /again/", "running"));
    }
    callers.push(send(&stacks[0], "GET /again/", "lesser"));
    callers.push(send(&stacks[1], "GET /once/", "urgent"));
    callers.push(send(&stacks[1], "GET /again/", "lesser"));
    callers.push(send(&stacks[0], "GET /once/", "urgent"));
    for caller in &mut callers {
        assert_eq!(caller.reply().unwrap().status, 200);
    }
    let seen = endpoint.seen();
    let order: Vec<_> = seen.iter().map(|seen| seen.contains("id: urgent")).collect();
    assert_eq!(order[4..], [true, true, false, false]);
}

/// A daemon that is heard, is to place all requests, and answers none of the questions.
struct Mute {
    address: net::SocketAddr,
    asked: sync::Arc<atomic::AtomicUsize>,
    ended: sync::Arc<atomic::AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Mute {
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

impl Drop for Mute {
    fn drop(&mut self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().unwrap();
        }
    }
}

#[test]
fn a_request_is_served_though_the_daemon_that_is_to_place_it_answers_nothing() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    // One of several mute daemons stands before this one, as the gateway is new.
    let mutes: Vec<_> = (0..2).map(|_| Mute::start(vec![stack.addresses.peers])).collect();
    let members = mutes.iter().map(|mute| mute.address).chain([stack.addresses.peers]);
    stack.feed.members(&members.map(peer).collect::<Vec<_>>());
    thread::sleep(Duration::from_millis(200));
    // The route's timeout is two seconds.
    assert_eq!(stack.ask("GET /once/").unwrap().status, 200);
    let asked = || mutes.iter().map(|mute| mute.asked.load(atomic::Ordering::Relaxed)).sum();
    let before: usize = asked();
    assert!(before >= 2, "nobody was asked");
    // Whoever did not answer is not asked again at once.
    assert_eq!(stack.ask("GET /once/").unwrap().status, 200);
    assert_eq!(asked(), before);
}

/// Returns a socket of a daemon that would keep the account's bucket only after the one at `own`.
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

/// A charge that is no number would fill the bucket anew, and a refund of less than nothing would empty it.
#[test]
fn charges_and_refunds_without_a_sensible_cost_are_not_taken_in() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    // One request a second at most.
    stack.reconfigure(2, |config| {
        config.accounts[0].rate = 0.5;
        config.accounts[0].burst = 4.0;
        config.accounts[0].unit = AccountUnit::Requests;
    });
    let own = stack.addresses.peers;
    let socket = second_keeper(own);
    stack.feed.members(&[peer(own), peer(socket.local_addr().unwrap())]);
    let send = |message: &Message| {
        socket.send_to(&rmp_serde::to_vec(message).unwrap(), own).unwrap();
    };
    let status = || stack.ask("GET /once/").unwrap().status;
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

/// The reply to the first question is lost, so the daemon asks once more.
#[test]
fn a_daemon_that_asks_again_is_told_of_the_place_that_it_has() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    let own = stack.addresses.peers;
    stack.feed.members(&[peer(own), peer(socket.local_addr().unwrap())]);
    let now = Timestamp::ZERO;
    let demand = Demand {
        route: 0,
        rank: 0,
        zone: "a".into(),
        prompt: 0,
        parts: Vec::new(),
        expected: 0.0,
        gap: Duration::ZERO,
        objective: now + Duration::from_millis(300),
        leaves: now + Duration::from_secs(2),
        deadline: now + Duration::from_secs(2),
        returning: false,
        repeatable: true,
        tried: Vec::new(),
    };
    let ask = Message::Ask(Ask::new("svc".into(), 1, now, &demand));
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
fn a_quota_holds_over_gateways_that_hear_each_other_and_over_those_that_do_not() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stacks = [Stack::start(&[&endpoint]), Stack::start(&[&endpoint])];
    for stack in &stacks {
        stack.reconfigure(2, |config| {
            config.accounts[0].rate = 10.0;
            config.accounts[0].burst = 20.0;
            config.accounts[0].unit = AccountUnit::Requests;
        });
    }
    meet(&stacks);
    let serve = |seconds: u64| {
        let end = std::time::Instant::now() + Duration::from_secs(seconds);
        let mut served = 0;
        while std::time::Instant::now() < end {
            for stack in &stacks {
                served += u32::from(stack.ask("GET /once/").unwrap().status == 200);
            }
            thread::sleep(Duration::from_millis(20));
        }
        served
    };
    // Twelve and a half a second; beside it the bucket and what both admit at the same moment.
    let served = serve(2);
    assert!((20..=45).contains(&served), "{served}");
    // Now each counts on hearing one that is not there.
    let nobody: Vec<_> =
        (1..=1).map(|port| net::SocketAddr::from(([127, 0, 0, 1], port))).collect();
    for stack in &stacks {
        let own = stack.addresses.peers;
        stack.feed.members(&[peer(own), peer(nobody[0])]);
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
    let stacks = [Stack::start(&[&limited, &other]), Stack::start(&[&limited, &other])];
    meet(&stacks);
    let send_requests = |duration| {
        let end = std::time::Instant::now() + duration;
        let mut number = 0;
        while std::time::Instant::now() < end {
            let reply = stacks[number % 2].ask("GET /once/").unwrap();
            assert_eq!(reply.status, 200);
            thread::sleep(Duration::from_millis(5));
            number += 1;
        }
    };
    send_requests(Duration::from_millis(500));
    let (before, before_other) = (limited.seen().len(), other.seen().len());
    send_requests(Duration::from_millis(3_000));
    let count = limited.seen().len() - before;
    // The upper bound is one and a half times the limit plus five.
    assert!(count <= 14, "{count} requests in 3 s");
    assert!(count >= 4, "{count} requests in 3 s: the limit is not used");
    assert!(other.seen().len() - before_other > 100);
}
