//! Several gateways before the same endpoints.

use std::time::Duration;

use trefoildyke_decide::gateway::{AccountUnit, Peer};

use crate::harness::{Endpoint, Stack, Step};

fn peer(address: std::net::SocketAddr) -> Peer {
    Peer { address, zone: "a".into() }
}

fn meet(stacks: &[Stack]) {
    let members: Vec<_> = stacks.iter().map(|stack| peer(stack.addresses.peers)).collect();
    for stack in stacks {
        stack.feed.members(&members);
    }
    // Each tells the others at least every quarter of a second.
    std::thread::sleep(Duration::from_millis(400));
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
    std::thread::sleep(Duration::from_millis(150));
    callers.extend((0..4).map(|_| send(&stacks[1])));
    std::thread::sleep(Duration::from_millis(80));
    assert_eq!(endpoint.seen().len(), 4);
    for caller in &mut callers {
        assert_eq!(caller.reply().unwrap().status, 200);
    }
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
            std::thread::sleep(Duration::from_millis(20));
        }
        served
    };
    // Twelve and a half a second; beside it the bucket and what both admit at the same moment.
    let served = serve(2);
    assert!((20..=45).contains(&served), "{served}");
    // Now each counts on hearing one that is not there.
    let nobody: Vec<_> =
        (1..=1).map(|port| std::net::SocketAddr::from(([127, 0, 0, 1], port))).collect();
    for stack in &stacks {
        let own = stack.addresses.peers;
        stack.feed.members(&[peer(own), peer(nobody[0])]);
    }
    std::thread::sleep(Duration::from_millis(1_100));
    let served = serve(2);
    assert!((15..=45).contains(&served), "{served}");
}
