//! Cluster membership: daemons that freeze, die, use another key, or whose connections go silent.

use testbed::relay;
use trefoildyke_types::resource;

use crate::harness;

fn layout(daemons: usize) -> harness::Layout {
    harness::Layout { daemons, engines: 1, services: 1, ..harness::Layout::default() }
}

fn tier(name: &str, rank: u8) -> resource::Resource {
    resource::Resource {
        name: name.to_owned(),
        spec: resource::Spec::Tier(resource::TierSpec { rank, deadline_ms: 60_000 }),
        generation: 0,
        resource_version: 0,
        status: None,
    }
}

/// Applies a change at one daemon and returns its version.
async fn apply_tier(cluster: &harness::Cluster, daemon: usize, rank: u8) -> u64 {
    let operator = cluster.operator(daemon);
    let resources = [tier(&format!("extra-{rank}"), rank)];
    harness::wait_until("a change is accepted", async || operator.apply(&resources).await.ok())
        .await
        .version
}

/// Waits until a daemon counts `live` live daemons, all of them at `version` or later.
async fn wait_live(cluster: &harness::Cluster, daemon: usize, live: u32, version: u64) {
    let operator = cluster.operator(daemon);
    let what = format!("daemon {daemon} sees {live} at version {version}");
    harness::wait_until(&what, async || {
        let overview = operator.overview().await.ok()?;
        (overview.in_force >= version && overview.live == live).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_daemon_is_removed_and_rejoins() {
    let cluster = harness::Cluster::start("members_frozen", layout(3)).await;
    cluster.daemons[2].process.signal("STOP");
    for daemon in 0..2 {
        wait_live(&cluster, daemon, 2, 0).await;
    }
    let version = apply_tier(&cluster, 0, 10).await;
    for daemon in 0..2 {
        wait_live(&cluster, daemon, 2, version).await;
    }
    cluster.daemons[2].process.signal("CONT");
    for daemon in 0..3 {
        wait_live(&cluster, daemon, 3, version).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_proceed_after_two_daemons_die_at_once() {
    let mut cluster = harness::Cluster::start("members_two_die", layout(5)).await;
    cluster.daemons[0].process.kill();
    cluster.daemons[1].process.kill();
    let version = apply_tier(&cluster, 2, 10).await;
    for daemon in 2..5 {
        wait_live(&cluster, daemon, 3, version).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_with_another_key_is_no_member() {
    let mut cluster = harness::Cluster::start("members_stranger", layout(2)).await;
    let keys = serde_json::json!({"keys": ["another key of 16 bytes"]});
    cluster.add_daemon_as(keys);
    cluster.add_daemon();
    let version = apply_tier(&cluster, 0, 10).await;
    for daemon in [0, 1, 3] {
        wait_live(&cluster, daemon, 3, version).await;
    }
    let outsider = cluster.operator(2).overview().await.unwrap();
    assert_eq!(outsider.live, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_proceed_when_peer_connections_go_silent() {
    let mut cluster = harness::Cluster::start("members_silent", layout(2)).await;
    let relay = relay::serve_later().await.unwrap();
    cluster.add_daemon_as(serde_json::json!({"advertise": relay.address()}));
    relay.set_target(cluster.daemons[2].peers);
    for daemon in 0..3 {
        wait_live(&cluster, daemon, 3, 0).await;
    }
    for rank in 10..13 {
        relay.silence_open();
        let version = apply_tier(&cluster, 0, rank).await;
        for daemon in 0..3 {
            wait_live(&cluster, daemon, 3, version).await;
        }
    }
    relay.stop().await;
}
