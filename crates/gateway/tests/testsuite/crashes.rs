//! Guards against a request that crashes every engine that starts it and is retried until no engine is
//! left.
//!
//! A caller sent such a request again and again, each time under a new id and to any gateway. No gateway
//! recognised it or knew of the crashes that another one had seen, so each gateway gave it another engine.
//! 20 of the 23 engines that crashed within 37 seconds had just started it, and each crash cut off up to 7
//! answers. Four of the crashes came within 3.7 s. They followed the send of the request, which had 1,406
//! prompt tokens, by 0.203 s, 0.175 s, 0.284 s (a second send came after that, 0.097 s before the crash)
//! and 0.393 s, before the first event.
//!
//! So once three endpoints have crashed under a request, no gateway sends it to another one: callers are
//! told that it has not run and when to retry.

use std::{thread, time::Duration};

use trefoildyke_decide::gateway::{Mesh, Peer, RosterEntry, Strength};
use trefoildyke_types::time::Timestamp;

use crate::harness::{self, Endpoint, Step, TestGateway};

/// The time after which all gateways must know that a request crashes endpoints.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// The request that crashes endpoints.
const CRASHING_REQUEST: &str = "POST /stream/7";

/// Starts an endpoint that crashes under whatever it begins to run.
fn crashing_endpoint() -> Endpoint {
    Endpoint::start(vec![vec![Step::Stream, Step::Pause(Duration::from_millis(50)), Step::Close]])
}

/// Sends the request that crashes endpoints, and checks that it crashed `endpoint`.
fn crash_endpoint(gateway: &TestGateway, endpoint: &Endpoint) {
    let reply = gateway.request(CRASHING_REQUEST);
    assert!(reply.as_ref().is_none_or(|reply| !reply.is_complete), "{reply:?}");
    assert_eq!(endpoint.requests().len(), 1);
}

/// Lists all endpoints so that only the one at `index` gets new work.
fn only_active(index: usize, endpoints: &[Endpoint]) -> Vec<RosterEntry> {
    let mut entries = harness::entries(&endpoints.iter().collect::<Vec<_>>());
    for (number, entry) in entries.iter_mut().enumerate() {
        entry.draining = number != index;
    }
    entries
}

fn request_count(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(|endpoint| endpoint.requests().len()).sum()
}

/// Starts gateways that are members of one mesh.
fn start_members(count: usize) -> Vec<TestGateway> {
    let gateways: Vec<_> = (0..count).map(|_| TestGateway::start(&[])).collect();
    connect(&gateways);
    gateways
}

fn members(gateways: &[TestGateway]) -> Vec<Peer> {
    let peer = |gateway: &TestGateway| Peer {
        address: gateway.addresses.peers,
        strength: Strength::UNKNOWN,
    };
    gateways.iter().map(peer).collect()
}

/// Gives each gateway the list of all of them.
fn connect(gateways: &[TestGateway]) {
    for gateway in gateways {
        gateway.feed.set_members(&members(gateways));
    }
    thread::sleep(Duration::from_millis(400));
}

/// Checks that after [`DETECTION_TIME`] no gateway sends the request to a fourth endpoint.
fn check_refused(gateways: &[TestGateway], endpoints: &[Endpoint]) {
    for gateway in gateways {
        gateway.feed.set_endpoints(only_active(3, endpoints));
    }
    thread::sleep(DETECTION_TIME);
    for (number, gateway) in gateways.iter().enumerate() {
        assert_eq!(gateway.request(CRASHING_REQUEST).unwrap().status, 503, "gateway {number}");
    }
    assert_eq!(request_count(endpoints), 3);
}

#[test]
fn a_request_that_crashed_three_endpoints_is_refused_and_others_are_served() {
    let mut endpoints: Vec<_> = (0..3).map(|_| crashing_endpoint()).collect();
    endpoints.push(Endpoint::start(vec![vec![Step::Answer("whole")]]));
    let gateway = TestGateway::start(&[]);
    for (index, endpoint) in endpoints[..3].iter().enumerate() {
        gateway.feed.set_endpoints(only_active(index, &endpoints));
        crash_endpoint(&gateway, endpoint);
    }
    gateway.feed.set_endpoints(only_active(3, &endpoints));
    let reply = gateway.request(CRASHING_REQUEST);
    assert_eq!(endpoints[3].requests().len(), 0, "sent to a fourth endpoint");
    let reply = reply.unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some(), "{reply:?}");
    assert_eq!(gateway.request("POST /once/7").unwrap().body, "whole");
}

#[test]
fn each_gateway_refuses_a_request_that_crashed_endpoints_at_other_gateways() {
    let endpoints: Vec<_> = (0..8).map(|_| crashing_endpoint()).collect();
    let gateways = start_members(5);
    for index in 0..3 {
        for gateway in &gateways {
            gateway.feed.set_endpoints(only_active(index, &endpoints));
        }
        crash_endpoint(&gateways[index], &endpoints[index]);
    }
    check_refused(&gateways, &endpoints);
}

#[test]
fn a_stream_is_not_resumed_at_a_fourth_endpoint_after_three_crashes() {
    let endpoints: Vec<_> = (0..6).map(|_| crashing_endpoint()).collect();
    let gateway = TestGateway::start(&[]);
    gateway.reconfigure(2, |config| config.routes[3].attempts = 6);
    gateway.feed.set_endpoints(harness::entries(&endpoints.iter().collect::<Vec<_>>()));
    let reply = gateway.request("POST /resume/7");
    assert!(reply.as_ref().is_none_or(|reply| !reply.is_complete), "{reply:?}");
    assert_eq!(request_count(&endpoints), 3);
}

#[test]
fn a_queued_request_is_not_sent_after_an_identical_one_crashes_the_third_endpoint() {
    let slow = vec![Step::Stream, Step::Pause(Duration::from_millis(300)), Step::Close];
    let endpoints = [crashing_endpoint(), crashing_endpoint(), Endpoint::start(vec![slow])];
    let gateway = TestGateway::start(&[]);
    for (index, endpoint) in endpoints[..2].iter().enumerate() {
        gateway.feed.set_endpoints(only_active(index, &endpoints));
        crash_endpoint(&gateway, endpoint);
    }
    let mut entries = only_active(2, &endpoints);
    entries[2].slots = 1;
    gateway.feed.set_endpoints(entries);
    let send = || {
        let mut caller = gateway.caller();
        let headers = [("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")];
        caller.send(CRASHING_REQUEST, &headers, "");
        caller
    };
    let mut first = send();
    TestGateway::wait_until("the third endpoint runs it", || endpoints[2].requests().len() == 1);
    let mut second = send();
    assert!(first.read_reply().is_none_or(|reply| !reply.is_complete));
    let reply = second.read_reply().unwrap();
    assert_eq!((reply.status, endpoints[2].requests().len()), (503, 1));
}

/// Two of the three hubs, which hear of every crash, stop before the third crash; all gateways hear of it
/// from the remaining hub.
#[test]
fn all_gateways_refuse_a_crashing_request_after_the_loss_of_hubs() {
    let endpoints: Vec<_> = (0..4).map(|_| crashing_endpoint()).collect();
    let mut gateways = start_members(5);
    let mut mesh = Mesh::new(gateways[0].addresses.peers, DETECTION_TIME);
    mesh.replace(Timestamp::ZERO, &members(&gateways));
    let hubs = mesh.hubs().to_vec();
    gateways.sort_by_key(|gateway| hubs.iter().position(|hub| *hub == gateway.addresses.peers));
    // Gateways that are not hubs come first now.
    for (index, endpoint) in endpoints[..3].iter().enumerate() {
        if index == 2 {
            gateways.drain(2..4);
        }
        gateways[0].feed.set_endpoints(only_active(index, &endpoints));
        crash_endpoint(&gateways[0], endpoint);
    }
    check_refused(&gateways, &endpoints);
}

/// The gateways that start later become hubs, which hear of every crash, or learn of the crashes from the
/// readers of the store.
#[test]
fn gateways_that_start_later_learn_which_request_crashes_endpoints() {
    let endpoints: Vec<_> = (0..4).map(|_| crashing_endpoint()).collect();
    let mut gateways = start_members(3);
    for (index, endpoint) in endpoints[..3].iter().enumerate() {
        gateways[0].feed.set_endpoints(only_active(index, &endpoints));
        crash_endpoint(&gateways[0], endpoint);
    }
    gateways.extend((0..3).map(|_| TestGateway::start(&[])));
    connect(&gateways);
    for gateway in &gateways {
        gateway.query_readers();
    }
    check_refused(&gateways, &endpoints);
}

/// An endpoint that crashes after an event may end an answer without framing as if it were whole.
#[test]
fn an_answer_without_framing_does_not_release_a_request_that_crashes_endpoints() {
    let unframed = "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\n\
         trefoildyke-seal: sealed-{id}\r\nContent-Type: text/event-stream\r\n\r\n\
         id: 1\ndata: a\n\n";
    let mut endpoints: Vec<_> = (0..3).map(|_| crashing_endpoint()).collect();
    endpoints.insert(2, Endpoint::start(vec![vec![Step::Raw(unframed), Step::Close]]));
    endpoints.push(crashing_endpoint());
    let gateway = TestGateway::start(&[]);
    for index in 0..4 {
        gateway.feed.set_endpoints(only_active(index, &endpoints));
        gateway.request(CRASHING_REQUEST);
        assert_eq!(endpoints[index].requests().len(), 1, "endpoint {index}");
    }
    gateway.feed.set_endpoints(only_active(4, &endpoints));
    assert_eq!(gateway.request(CRASHING_REQUEST).unwrap().status, 503);
    assert_eq!(endpoints[4].requests().len(), 0);
}

#[test]
fn a_request_that_an_endpoint_answers_between_crashes_is_not_refused() {
    let endpoints: Vec<_> = (0..6)
        .map(|index| {
            let answers = index == 2;
            if answers {
                Endpoint::start(vec![vec![Step::Answer("whole")]])
            } else {
                crashing_endpoint()
            }
        })
        .collect();
    let gateways = start_members(2);
    for index in 0..5 {
        for gateway in &gateways {
            gateway.feed.set_endpoints(only_active(index, &endpoints));
        }
        // The request crashes an endpoint at one gateway and is answered at the other.
        let reply = gateways[usize::from(index == 2)].request("POST /once/7").unwrap();
        assert_eq!(reply.status, if index == 2 { 200 } else { 502 }, "endpoint {index}");
        thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(request_count(&endpoints), 5);
}
