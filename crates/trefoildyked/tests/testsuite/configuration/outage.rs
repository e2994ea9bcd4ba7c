//! Outages of the key-value service during changes.

use std::{sync, sync::atomic, time};

use trefoildyke_types::error;
use trefoildyke_wire::operators;

use crate::{
    configuration::{current_tier, tier},
    harness,
};

/// Polls the version of a daemon and panics if it ever decreases; returns the highest version.
async fn poll_version(operator: operators::Client, stopped: sync::Arc<atomic::AtomicBool>) -> u64 {
    let mut highest = 0;
    while !stopped.load(atomic::Ordering::Relaxed) {
        if let Ok(overview) = operator.overview().await {
            assert!(
                overview.version >= highest,
                "decreased from {highest} to {}",
                overview.version
            );
            highest = overview.version;
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    highest
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_during_an_outage_reports_its_true_result() {
    let layout = harness::Layout { daemons: 2, engines: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("configuration_outage", layout).await;
    let (one, two) = (cluster.operator(0), cluster.operator(1));
    let mut version = cluster.apply(&[tier("t", 9, 1, 0)]).await;
    for (round, mode) in (2..).zip(["down", "lose_answers", "silent", "lose_answers"]) {
        cluster.set_mode(&cluster.kv, serde_json::json!({"mode": mode})).await;
        let change = [tier("t", 9, round, version)];
        let (outcome, ()) = tokio::join!(one.apply(&change), async {
            // The outage ends while the writer may still be resolving the result of its write.
            tokio::time::sleep(time::Duration::from_millis(300)).await;
            cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "ok"})).await;
        });
        match outcome {
            Ok(accepted) => {
                harness::wait_until("an accepted change reaches the other daemon", async || {
                    let read = current_tier(&two, "t").await?;
                    (read == (round, accepted.version)).then_some(())
                })
                .await;
                version = accepted.version;
            }
            Err(refused) if refused.kind == error::ErrorKind::Unavailable => {
                // A retry on the old version succeeds, so the refused change had changed nothing.
                let retried = one.apply(&[tier("t", 9, round, version)]).await;
                version = retried.unwrap().version;
            }
            Err(unsure) => {
                assert_eq!(unsure.kind, error::ErrorKind::Unsure, "{unsure}");
                version = current_tier(&one, "t").await.unwrap().1;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn daemon_started_in_an_outage_reads_from_peers_and_never_goes_back() {
    let layout = harness::Layout { daemons: 2, engines: 1, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("configuration_late", layout).await;
    let version = cluster.apply(&[tier("t", 9, 1, 0)]).await;
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "down"})).await;
    cluster.add_daemon();
    let late = cluster.operator(2);
    harness::wait_until("the late daemon has the version", async || {
        (late.overview().await.ok()?.version == version).then_some(())
    })
    .await;
    assert_eq!(current_tier(&late, "t").await.map(|(deadline, _)| deadline), Some(1));
    let stopped = sync::Arc::new(atomic::AtomicBool::new(false));
    let pollers: Vec<_> = (0..3)
        .map(|daemon| {
            tokio::spawn(poll_version(cluster.operator(daemon), sync::Arc::clone(&stopped)))
        })
        .collect();
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "ok"})).await;
    let mut last = version;
    for deadline_ms in 2..12 {
        let mode = if deadline_ms % 3 == 0 { "lose_answers" } else { "ok" };
        cluster.set_mode(&cluster.kv, serde_json::json!({"mode": mode, "calls": 1})).await;
        last = cluster.apply(&[tier("t", 9, deadline_ms, last)]).await;
    }
    stopped.store(true, atomic::Ordering::Relaxed);
    for poller in pollers {
        assert!(poller.await.unwrap() >= version);
    }
}
