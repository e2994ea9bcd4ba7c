//! Connections that fail or stop transmitting.

use std::time;

use testbed::relay;
use trefoildyke_daemon::peers;
use trefoildyke_decide::members::State;
use trefoildyke_wire::peer;

use crate::members::nodes;

/// Starts two nodes; the first one can reach the second one only through a relay.
async fn start_with_relay(
    kernel: &trefoildyke_kernel::Kernel,
) -> (nodes::Node, nodes::Node, relay::Running) {
    let one = nodes::run(nodes::prepare(1, &[]).await, kernel);
    let mut start = nodes::prepare(2, &[one.address]).await;
    let relay = relay::serve(start.listener.local_addr().unwrap()).await.unwrap();
    start.advertise = Some(relay.address());
    let two = nodes::run(start, kernel);
    one.sees_alive(&[&one, &two]).await;
    two.sees_alive(&[&one, &two]).await;
    (one, two, relay)
}

async fn ping(peers: &peers::Handle, to: &nodes::Node, limit: time::Duration) -> bool {
    let Ok(client) = peers.client(to.incarnation).await else { return false };
    client.ping(peer::within(limit)).await.is_ok()
}

/// Pings until a ping is answered. The time limit is for the test only; the services do not guarantee it.
async fn ping_until_answered(from: &nodes::Node, to: &nodes::Node) {
    let answered = async {
        while !ping(&from.peers, to, nodes::LONG).await {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(nodes::LONG, answered).await.unwrap();
}

#[test]
fn a_connection_that_goes_silent_is_replaced() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let (one, two, relay) = start_with_relay(&kernel).await;
        ping_until_answered(&one, &two).await;
        relay.silence_open();
        let opened = relay.connections();
        ping_until_answered(&one, &two).await;
        assert!(relay.connections() > opened);
        one.sees_alive(&[&one, &two]).await;
        relay.stop().await;
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn a_connection_that_goes_silent_in_one_direction_is_replaced() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let (one, two, relay) = start_with_relay(&kernel).await;
        for direction in [relay::Direction::Up, relay::Direction::Down] {
            ping_until_answered(&one, &two).await;
            relay.silence_open_one_way(direction);
            let opened = relay.connections();
            ping_until_answered(&one, &two).await;
            assert!(relay.connections() > opened, "{direction:?}");
        }
        relay.stop().await;
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn an_unreachable_node_is_suspect_and_then_alive_again() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let (one, two, relay) = start_with_relay(&kernel).await;
        relay.refuse_all();
        one.sees(|view| view.find(two.incarnation).is_some_and(|m| m.state != State::Alive)).await;
        relay.restore();
        one.sees_alive(&[&one, &two]).await;
        two.sees_alive(&[&one, &two]).await;
        relay.stop().await;
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn one_connection_serves_many_calls() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let (one, two, relay) = start_with_relay(&kernel).await;
        ping_until_answered(&one, &two).await;
        let opened = relay.connections();
        let calls = (0..64).map(|_| ping(&one.peers, &two, nodes::LONG));
        let answers = futures::future::join_all(calls).await;
        assert!(answers.iter().all(|answered| *answered));
        assert_eq!(relay.connections(), opened);
        relay.stop().await;
    });
    assert!(kernel.close().is_empty());
}
