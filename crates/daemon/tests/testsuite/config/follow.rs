//! Tests of how nodes follow the key-value service and their peers.

use testbed::switch;
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{id, resource};
use trefoildyke_wire::platform::{self, message};

use crate::config::nodes::{Nodes, deadline, reaches, settings, tier};

/// Overwrites the configuration root directly in the key-value service.
async fn overwrite(nodes: &Nodes, value: &str) {
    let client = platform::KvClient::new(platform::KvSettings::new(nodes.kv.address()));
    let put = message::Put {
        key: storage::ROOT_KEY.to_owned(),
        value: value.to_owned(),
        expect: None,
        lease: None,
    };
    client.put(&put).await.unwrap();
}

#[tokio::test]
async fn only_the_nodes_with_the_role_watch() {
    let mut nodes = Nodes::new(settings()).await;
    let all: Vec<_> = (0..6).map(|_| nodes.start()).collect();
    for version in 0..5 {
        all[0].handle.write(&tier(0, 1, version)).await.unwrap();
        for node in &all {
            reaches(node, version + 1).await;
        }
    }
    // The watching node makes one watch call for each change. While nodes join, each of them may have
    // the role for a while and make one more.
    let watches = nodes.kv.stats().watches;
    assert!(watches <= 5 + 6 + 1, "{watches} watches");
}

#[tokio::test]
async fn another_node_watches_after_the_watcher_dies() {
    let mut nodes = Nodes::new(settings()).await;
    let mut all: Vec<_> = (0..3).map(|_| nodes.start()).collect();
    all[0].handle.write(&tier(0, 1, 0)).await.unwrap();
    for version in 1..3 {
        nodes.kill(&all.remove(0));
        all[0].handle.write(&tier(0, 1, version)).await.unwrap();
        for node in &all {
            reaches(node, version + 1).await;
        }
    }
}

#[tokio::test]
async fn a_node_that_starts_in_an_outage_learns_from_its_peers() {
    let mut nodes = Nodes::new(settings()).await;
    let first = nodes.start();
    first.handle.write(&tier(0, 5, 0)).await.unwrap();
    nodes.mode(switch::ModeKind::Down);
    let late = nodes.start();
    reaches(&late, 1).await;
    assert_eq!(deadline(&late, 0), Some(5));
    nodes.mode(switch::ModeKind::Ok);
    late.handle.write(&tier(0, 6, 1)).await.unwrap();
    reaches(&first, 2).await;
}

#[tokio::test]
async fn a_large_configuration_reaches_a_node_that_starts_in_an_outage() {
    let mut nodes = Nodes::new(settings()).await;
    let first = nodes.start();
    let mut set = tier(0, 5, 0);
    set.puts.extend((0..6_000).map(|index| resource::Resource {
        name: format!("account-{index}"),
        spec: resource::Spec::ClientAccount(resource::ClientAccountSpec {
            key_hashes: vec![format!("{index:064x}")],
            classes: [("question".to_owned(), "t0".into())].into(),
            weight: 1,
            max_waiting: None,
        }),
        generation: 0,
        resource_version: 0,
        status: None,
    }));
    first.handle.write(&set).await.unwrap();
    nodes.mode(switch::ModeKind::Down);
    let late = nodes.start();
    reaches(&late, 1).await;
    assert_eq!(late.handle.snapshot().resources(), first.handle.snapshot().resources());
}

#[tokio::test]
async fn a_store_that_reverts_is_overwritten_and_no_node_reverts() {
    let mut nodes = Nodes::new(settings()).await;
    let all: Vec<_> = (0..2).map(|_| nodes.start()).collect();
    all[0].handle.write(&tier(0, 1, 0)).await.unwrap();
    let old = nodes.kv.entries(storage::ROOT_KEY)[0].value.clone();
    all[0].handle.write(&tier(0, 2, 1)).await.unwrap();
    for node in &all {
        reaches(node, 2).await;
    }
    overwrite(&nodes, &old).await;
    let accepted = all[1].handle.write(&tier(0, 3, 2)).await.unwrap();
    assert_eq!(accepted.version(), 3);
    for node in &all {
        reaches(node, 3).await;
        assert_eq!(deadline(node, 0), Some(3));
    }
}

#[tokio::test]
async fn an_invalid_root_does_not_change_the_configuration_in_force() {
    let mut nodes = Nodes::new(settings()).await;
    let node = nodes.start();
    node.handle.write(&tier(0, 1, 0)).await.unwrap();
    overwrite(&nodes, "{\"version\": \"many\"}").await;
    node.handle.write(&tier(0, 2, 1)).await.unwrap_err();
    assert_eq!(node.handle.snapshot().version(), 1);
}

#[tokio::test]
async fn old_chunks_are_deleted_and_the_rest_can_be_read() {
    let mut nodes = Nodes::new(settings()).await;
    let node = nodes.start();
    let mut folds = std::collections::BTreeSet::new();
    let mut version = 0;
    while folds.len() < 4 {
        let mut set = config::ChangeSet::default();
        set.puts.extend((0..=255).flat_map(|rank| tier(rank, 1 + version, version).puts));
        version = node.handle.write(&set).await.unwrap().version();
        folds.extend(nodes.kv.entries(storage::CHUNK_PREFIX).into_iter().map(|entry| entry.key));
        assert!(version < 100, "no folds");
    }
    let kept = nodes.kv.entries(storage::CHUNK_PREFIX);
    assert!(kept.len() <= 2, "{} chunks", kept.len());
    let late = nodes.start_from(Some([127, 0, 0, 1].into()));
    reaches(&late, version).await;
    assert_eq!(late.handle.snapshot().resources(), node.handle.snapshot().resources());
    assert!(late.handle.snapshot().tier(&id::TierName::new("t255")).is_some());
}
