//! The states of members in the views of other members.

use trefoildyke_decide::members::State;

use crate::members::nodes;

#[test]
fn nodes_join_through_a_seed_and_detect_a_dead_node() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let nodes = nodes::start(&kernel, 4).await;
        nodes[3].kill().await;
        let living: Vec<_> = nodes[..3].iter().collect();
        for node in &living {
            node.sees_alive(&living).await;
            node.sees(|view| {
                view.find(nodes[3].incarnation).is_some_and(|dead| dead.state == State::Dead)
            })
            .await;
        }
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn two_nodes_that_die_at_once_are_both_seen_as_dead() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let nodes = nodes::start(&kernel, 5).await;
        // These are the root of the tree and one of its children.
        tokio::join!(nodes[0].kill(), nodes[1].kill());
        for node in &nodes[2..] {
            node.sees_alive(&nodes[2..].iter().collect::<Vec<_>>()).await;
            node.sees(|view| {
                let dead = |member: &&_| {
                    let member: &trefoildyke_decide::members::Member = member;
                    member.state == State::Dead
                };
                view.members.iter().filter(dead).count() == 2
            })
            .await;
        }
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn a_node_that_leaves_is_seen_as_leaving_and_keeps_answering() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let nodes = nodes::start(&kernel, 3).await;
        nodes[1].members.leave().await;
        for node in &nodes {
            node.sees(|view| {
                view.find(nodes[1].incarnation).is_some_and(|m| m.state == State::Leaving)
            })
            .await;
        }
        let client = nodes[0].peers.client(nodes[1].incarnation).await.unwrap();
        client.ping(trefoildyke_wire::peer::within(nodes::LONG)).await.unwrap();
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn a_node_with_a_wrong_key_is_in_no_view() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let nodes = nodes::start(&kernel, 2).await;
        let mut start = nodes::prepare(9, &[nodes[0].address, nodes[1].address]).await;
        start.keys = nodes::keys("another key, long enough");
        let wrong_key_node = nodes::run(start, &kernel);
        let refused = wrong_key_node.peers.client_at(nodes[0].address).await.err().unwrap();
        assert_eq!(refused.kind, trefoildyke_types::error::ErrorKind::Unauthorized);
        // A node that starts later with the right key can join through the same seed.
        let right_key_node = nodes::run(nodes::prepare(10, &[nodes[0].address]).await, &kernel);
        right_key_node.sees_alive(&[&nodes[0], &nodes[1], &right_key_node]).await;
        assert_eq!(wrong_key_node.members.view().members.len(), 1);
        assert_eq!(nodes[0].state_of(&wrong_key_node), None);
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn a_restarted_node_replaces_its_old_incarnation() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let nodes = nodes::start(&kernel, 3).await;
        let address = nodes[2].address;
        nodes[2].kill().await;
        let mut start = nodes::prepare(50, &[nodes[0].address]).await;
        start.listener = tokio::net::TcpListener::bind(address).await.unwrap();
        let restarted = nodes::run(start, &kernel);
        nodes[0].sees_alive(&[&nodes[0], &nodes[1], &restarted]).await;
        assert_eq!(nodes[0].state_of(&nodes[2]), Some(State::Dead));
        let old = nodes[0].peers.client(nodes[2].incarnation).await.err().unwrap();
        assert_eq!(old.kind, trefoildyke_types::error::ErrorKind::NotFound);
        nodes[0].peers.client(restarted.incarnation).await.unwrap();
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn a_version_is_in_force_once_every_node_has_it() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let nodes = nodes::start(&kernel, 4).await;
        for node in &nodes[..3] {
            node.configure(7);
        }
        nodes[3].configure(6);
        for node in &nodes {
            let mut in_force = node.members.in_force();
            let known = in_force.wait_for(|known| known.versions.config >= 6);
            let known = *tokio::time::timeout(nodes::LONG, known).await.unwrap().unwrap();
            assert_eq!(known.versions.config, 6);
        }
        nodes[3].configure(7);
        for node in &nodes {
            let mut in_force = node.members.in_force();
            let known = in_force.wait_for(|known| known.versions.config >= 7);
            tokio::time::timeout(nodes::LONG, known).await.unwrap().unwrap();
        }
    });
    assert!(kernel.close().is_empty());
}

#[test]
fn a_peer_with_a_newer_version_is_announced() {
    let kernel = nodes::kernel();
    kernel.block_on(async {
        let nodes = nodes::start(&kernel, 2).await;
        nodes[1].configure(3);
        let mut newest = nodes[0].members.newest_version();
        let announced = newest.wait_for(|newest| newest.is_some_and(|newest| newest.version == 3));
        let announced =
            tokio::time::timeout(nodes::LONG, announced).await.unwrap().unwrap().unwrap();
        assert_eq!(announced.incarnation, nodes[1].incarnation);
    });
    assert!(kernel.close().is_empty());
}
