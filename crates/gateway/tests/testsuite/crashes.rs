//! One caller's request ended every engine that began to run it. It was sent again and again, each time under a new id and to
//! any gateway, and each gateway gave it another engine: nobody recognised it, and what one gateway had seen the others did not
//! know. Twenty of the 23 engines that ended in 37 seconds had just begun such a request, and everything beside it was lost as
//! well, up to seven answers at a time:
//!
//! ```text
//! 39.944 s  7 answers cut at one engine; the request of 1,406 prompt tokens was sent 0.203 s before, no event came
//! 40.327 s  7 cut at another; the request was sent 0.175 s before, no event came
//! 41.482 s  7 cut at a third; the request was sent twice, 0.284 s and 0.097 s before, no event came
//! 43.623 s  7 cut at a fourth; the request was sent 0.393 s before, no event came
//! ```
//!
//! So once three endpoints have ended under a request, no gateway sends it to another one: callers are told that it has not
//! run and when to come back.

use std::{thread, time::Duration};

use trefoildyke_decide::gateway::{Mesh, Peer, RosterEntry, Strength};
use trefoildyke_types::time::Timestamp;

use crate::harness::{self, Endpoint, Stack, Step};

/// How long it may take until all gateways know that a request ends endpoints.
const KNOWN: Duration = Duration::from_secs(3);

/// The request that ends endpoints.
const HARMFUL: &str = "POST /stream/7";

/// An endpoint that ends under whatever it begins to run.
fn ending() -> Endpoint {
    Endpoint::start(vec![vec![Step::Stream, Step::Pause(Duration::from_millis(50)), Step::Close]])
}

/// Sends the request that ends endpoints, and checks that it ended one.
fn end_one(stack: &Stack, endpoint: &Endpoint) {
    let reply = stack.ask(HARMFUL);
    assert!(reply.as_ref().is_none_or(|reply| !reply.whole), "{reply:?}");
    assert_eq!(endpoint.seen().len(), 1);
}

/// Lists all endpoints so that only the one at `place` gets new work.
fn only(place: usize, endpoints: &[Endpoint]) -> Vec<RosterEntry> {
    let mut entries = harness::entries(&endpoints.iter().collect::<Vec<_>>());
    for (number, entry) in entries.iter_mut().enumerate() {
        entry.draining = number != place;
    }
    entries
}

fn seen(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.seen().len()).sum()
}

/// Starts gateways that know each other.
fn meeting(count: usize) -> Vec<Stack> {
    let stacks: Vec<_> = (0..count).map(|_| Stack::start(&[])).collect();
    meet(&stacks);
    stacks
}

fn members(stacks: &[Stack]) -> Vec<Peer> {
    let peer = |stack: &Stack| Peer { address: stack.addresses.peers, strength: Strength::UNKNOWN };
    stacks.iter().map(peer).collect()
}

/// Tells gateways of each other.
fn meet(stacks: &[Stack]) {
    for stack in stacks {
        stack.feed.members(&members(stacks));
    }
    thread::sleep(Duration::from_millis(400));
}

/// Checks that all gateways know in time that the request must not be sent to a fourth endpoint.
fn check_refused(stacks: &[Stack], endpoints: &[Endpoint]) {
    for stack in stacks {
        stack.feed.endpoints(only(3, endpoints));
    }
    thread::sleep(KNOWN);
    for (number, stack) in stacks.iter().enumerate() {
        assert_eq!(stack.ask(HARMFUL).unwrap().status, 503, "gateway {number}");
    }
    assert_eq!(seen(endpoints), 3);
}

#[test]
fn a_request_under_which_three_endpoints_ended_is_refused_and_others_are_served() {
    let mut endpoints: Vec<_> = (0..3).map(|_| ending()).collect();
    endpoints.push(Endpoint::start(vec![vec![Step::Answer("whole")]]));
    let stack = Stack::start(&[]);
    for (place, endpoint) in endpoints[..3].iter().enumerate() {
        stack.feed.endpoints(only(place, &endpoints));
        end_one(&stack, endpoint);
    }
    stack.feed.endpoints(only(3, &endpoints));
    let reply = stack.ask(HARMFUL);
    assert_eq!(endpoints[3].seen().len(), 0, "sent to a fourth endpoint");
    let reply = reply.unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
    assert_eq!(stack.ask("POST /once/7").unwrap().body, "whole");
}

#[test]
fn each_gateway_refuses_a_request_that_ended_endpoints_elsewhere() {
    let endpoints: Vec<_> = (0..8).map(|_| ending()).collect();
    let stacks = meeting(5);
    for place in 0..3 {
        for stack in &stacks {
            stack.feed.endpoints(only(place, &endpoints));
        }
        end_one(&stacks[place], &endpoints[place]);
    }
    check_refused(&stacks, &endpoints);
}

#[test]
fn a_stream_is_not_resumed_at_a_fourth_endpoint_after_three_have_ended_under_it() {
    let endpoints: Vec<_> = (0..6).map(|_| ending()).collect();
    let stack = Stack::start(&[]);
    stack.reconfigure(2, |config| config.routes[3].attempts = 6);
    stack.feed.endpoints(harness::entries(&endpoints.iter().collect::<Vec<_>>()));
    let reply = stack.ask("POST /resume/7");
    assert!(reply.as_ref().is_none_or(|reply| !reply.whole), "{reply:?}");
    assert_eq!(seen(&endpoints), 3);
}

#[test]
fn a_request_that_waits_when_the_third_endpoint_ends_under_its_like_is_not_sent() {
    let slow = vec![Step::Stream, Step::Pause(Duration::from_millis(300)), Step::Close];
    let endpoints = [ending(), ending(), Endpoint::start(vec![slow])];
    let stack = Stack::start(&[]);
    for (place, endpoint) in endpoints[..2].iter().enumerate() {
        stack.feed.endpoints(only(place, &endpoints));
        end_one(&stack, endpoint);
    }
    let mut entries = only(2, &endpoints);
    entries[2].slots = 1;
    stack.feed.endpoints(entries);
    let send = || {
        let mut caller = stack.caller();
        let headers = [("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")];
        caller.send(HARMFUL, &headers, "");
        caller
    };
    let mut first = send();
    Stack::wait_until("the third endpoint runs it", || endpoints[2].seen().len() == 1);
    let mut second = send();
    assert!(first.reply().is_none_or(|reply| !reply.whole));
    let reply = second.reply().unwrap();
    assert_eq!((reply.status, endpoints[2].seen().len()), (503, 1));
}

/// All hear of the third end from the one of three that is left of those which hear of every end.
#[test]
fn all_gateways_refuse_a_request_that_ends_endpoints_though_hubs_are_lost() {
    let endpoints: Vec<_> = (0..4).map(|_| ending()).collect();
    let mut stacks = meeting(5);
    let mut mesh = Mesh::new(stacks[0].addresses.peers, KNOWN);
    mesh.replace(Timestamp::ZERO, &members(&stacks));
    let hubs = mesh.hubs().to_vec();
    stacks.sort_by_key(|stack| hubs.iter().position(|hub| *hub == stack.addresses.peers));
    // Those that are no hubs come first now.
    for (place, endpoint) in endpoints[..3].iter().enumerate() {
        if place == 2 {
            stacks.drain(2..4);
        }
        stacks[0].feed.endpoints(only(place, &endpoints));
        end_one(&stacks[0], endpoint);
    }
    check_refused(&stacks, &endpoints);
}

/// Whether it becomes one of those that hear of every end, or asks those about the store.
#[test]
fn gateways_that_start_later_learn_which_request_ends_endpoints() {
    let endpoints: Vec<_> = (0..4).map(|_| ending()).collect();
    let mut stacks = meeting(3);
    for (place, endpoint) in endpoints[..3].iter().enumerate() {
        stacks[0].feed.endpoints(only(place, &endpoints));
        end_one(&stacks[0], endpoint);
    }
    stacks.extend((0..3).map(|_| Stack::start(&[])));
    meet(&stacks);
    for stack in &stacks {
        stack.query_readers();
    }
    check_refused(&stacks, &endpoints);
}

#[test]
fn a_request_that_an_endpoint_answers_in_between_is_sent_on() {
    let endpoints: Vec<_> = (0..6)
        .map(|place| {
            let is_sound = place == 2;
            if is_sound { Endpoint::start(vec![vec![Step::Answer("whole")]]) } else { ending() }
        })
        .collect();
    let stacks = meeting(2);
    for place in 0..5 {
        for stack in &stacks {
            stack.feed.endpoints(only(place, &endpoints));
        }
        // Ends at one gateway, is answered at the other.
        let reply = stacks[usize::from(place == 2)].ask("POST /once/7").unwrap();
        assert_eq!(reply.status, if place == 2 { 200 } else { 502 }, "endpoint {place}");
        thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(seen(&endpoints), 5);
}
