//! Transfer of the configuration between gateways.

use std::{net, time::Duration};

use trefoildyke_decide::gateway::{ConfigPatch, Peer, Route, Strength};

use crate::harness::{Caller, TestGateway};

fn peer(address: net::SocketAddr) -> Peer {
    Peer { address, strength: Strength::UNKNOWN }
}

/// Returns a gateway, and the address of a member that its list contains.
fn gateway_with_member() -> (TestGateway, net::SocketAddr) {
    let gateway = TestGateway::start(&[]);
    let member: net::SocketAddr = "127.0.0.1:9".parse().unwrap();
    gateway.feed.set_members(&[peer(gateway.addresses.peers), peer(member)]);
    (gateway, member)
}

fn request(gateway: &TestGateway, member: net::SocketAddr, since: &str) -> Caller {
    let mut caller = Caller::connect(gateway.addresses.peers);
    let path = format!("/configuration?member={member}{since}");
    caller.write(&format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n"));
    caller
}

fn status(gateway: &TestGateway, member: net::SocketAddr, since: &str) -> u16 {
    request(gateway, member, since).read_reply().unwrap().status
}

/// The configuration contains the API keys.
#[test]
fn only_members_get_the_configuration() {
    let (gateway, member) = gateway_with_member();
    assert_eq!(status(&gateway, member, ""), 200);
    assert_eq!(status(&gateway, "127.0.0.1:10".parse().unwrap(), ""), 403);
    assert_eq!(status(&gateway, "127.0.0.2:9".parse().unwrap(), ""), 403, "not its address");
    let mut caller = Caller::connect(gateway.addresses.peers);
    caller.write("GET /configuration HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(caller.read_reply().unwrap().status, 400);
}

#[test]
fn a_member_that_has_the_version_gets_nothing() {
    let (gateway, member) = gateway_with_member();
    gateway.reconfigure(5, |_| ());
    assert_eq!(status(&gateway, member, "&since=5"), 204);
    assert_eq!(status(&gateway, member, "&since=4"), 200);
}

/// Adds so many routes that a transfer does not fit in the buffers of a connection.
fn grow(gateway: &TestGateway, version: u64) {
    gateway.reconfigure(version, |config| {
        let first = config.routes[0].clone();
        let route = |number| Route { name: format!("r-{number:02000}"), ..first.clone() };
        config.routes.extend((0..4_000).map(route));
    });
}

#[test]
fn a_busy_daemon_refers_to_daemons_that_have_the_version() {
    let (gateway, member) = gateway_with_member();
    grow(&gateway, 5);
    let first = request(&gateway, member, "").read_body();
    assert!(rmp_serde::from_slice::<ConfigPatch>(&first).is_ok());
    // The first transfer ends shortly after its last byte was read.
    std::thread::sleep(Duration::from_millis(200));
    let unread: Vec<_> = (0..4).map(|_| request(&gateway, member, "")).collect();
    std::thread::sleep(Duration::from_millis(1_500));
    let mut refused = request(&gateway, member, "");
    let holders: Vec<net::SocketAddr> = rmp_serde::from_slice(&refused.read_body()).unwrap();
    assert_eq!(holders, [member]);
    drop(unread);
    TestGateway::wait_until("a transfer is possible again", || {
        request(&gateway, member, "").read_body().len() > 1_000_000
    });
}
