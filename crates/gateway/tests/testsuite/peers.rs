//! Several gateways before the same endpoints.

use std::{net, sync, sync::atomic, thread, time::Duration};

use trefoildyke_decide::gateway::{AccountUnit, Charge, Digest, Message, Peer, Strength};

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

/// What another daemon sends must not spoil a bucket for good.
#[test]
fn charges_and_refunds_without_a_sensible_cost_are_not_taken_in() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    let mute = Mute::start(vec![]);
    stack.feed.members(&[peer(mute.address), peer(stack.addresses.peers)]);
    stack.reconfigure(2, |config| {
        config.accounts[0].rate = 10.0;
        config.accounts[0].burst = 20.0;
        config.accounts[0].unit = AccountUnit::Requests;
    });
    let socket = net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let hello = Digest { incarnation: 1, number: 1, starting: true, ..Digest::default() };
    let send = |message: &Message| {
        socket.send_to(&rmp_serde::to_vec(message).unwrap(), stack.addresses.peers).unwrap();
    };
    send(&Message::Digest(hello));
    for cost in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1e300] {
        let account = "cascadia".into();
        send(&Message::Charge(Charge { number: 1, account, cost }));
        send(&Message::Refund { account: "cascadia".into(), cost });
    }
    thread::sleep(Duration::from_millis(100));
    // The bucket refills and empties as usual.
    let served = (0..60).filter(|_| stack.ask("GET /once/").unwrap().status == 200).count();
    assert!((1..30).contains(&served), "{served}");
    thread::sleep(Duration::from_millis(500));
    assert_eq!(stack.ask("GET /once/").unwrap().status, 200);
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
