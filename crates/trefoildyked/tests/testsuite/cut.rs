//! Connections and daemons that are cut off.

use std::time;

use trefoildyke_types::request;

use crate::harness::{self, caller};

const TOKENS: u32 = 100;

/// Far above the three seconds after which a daemon counts as cut off, far below the deadline.
const SOON: time::Duration = time::Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_whose_connection_is_cut_comes_back_at_another_daemon() {
    let cluster = harness::Cluster::start("cut_caller", harness::Layout::default()).await;
    let client = harness::Caller::default();
    for daemon in [0, 1, 2] {
        let mut stream =
            client.open(cluster.daemons[0].callers, &caller::model(TOKENS)).await.unwrap();
        assert!(stream.read_tokens(3).await);
        let (id, have) = (stream.id.unwrap(), stream.tokens.len() as u64);
        drop(stream);
        let stream = client.come_back(cluster.daemons[daemon].callers, id, have).await;
        let tokens = stream.unwrap_or_else(|outcome| panic!("{outcome:?}")).finish().await.whole();
        assert_eq!(tokens, caller::expected(id, have, TOKENS));
        assert_eq!(cluster.starts_of(id).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_waits_can_come_back_through_a_peer() {
    let layout = harness::Layout { engines: 1, slots: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("cut_waiting", layout).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    // Longer than a peer waits in one call, so that it has to call again.
    let mut running = client.open(daemon, &caller::model(400)).await.unwrap();
    assert!(running.read_tokens(1).await);
    let mut waiting = client.open(daemon, &caller::model(TOKENS)).await.unwrap();
    let id = waiting.accepted().await;
    drop(waiting);
    let stream = client.come_back(cluster.daemons[1].callers, id, 0).await;
    let tokens = stream.unwrap_or_else(|outcome| panic!("{outcome:?}")).finish().await.whole();
    assert_eq!(tokens, caller::expected(id, 0, TOKENS));
    running.finish().await.whole();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_reaches_nobody_refuses_new_work() {
    let mut cluster = harness::Cluster::start("cut_daemon", harness::Layout::default()).await;
    let client = harness::Caller::default();
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "silent"})).await;
    for daemon in &mut cluster.daemons[1..] {
        daemon.process.kill();
    }
    let refusal = harness::until("new work is refused", async || {
        match client.ask(cluster.daemons[0].callers, &caller::model(2)).await {
            harness::Outcome::Refused(refusal) if refusal.reason == "isolated" => Some(refusal),
            _ => None,
        }
    })
    .await;
    assert_eq!(refusal.kind, request::RefusalKind::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    // It comes back by itself.
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "ok"})).await;
    harness::until("new work is taken again", async || {
        let outcome = client.ask(cluster.daemons[0].callers, &caller::model(2)).await;
        matches!(outcome, harness::Outcome::Whole(..)).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_waits_is_refused_when_the_daemon_reaches_nobody() {
    let layout = harness::Layout { engines: 1, slots: 1, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("cut_waits", layout).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    let mut running = client.open(daemon, &caller::model(4_000)).await.unwrap();
    assert!(running.read_tokens(1).await);
    let mut waiting = client.open(daemon, &caller::model(TOKENS)).await.unwrap();
    waiting.accepted().await;
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "silent"})).await;
    for daemon in &mut cluster.daemons[1..] {
        daemon.process.kill();
    }
    let outcome = tokio::time::timeout(SOON, waiting.finish()).await;
    let Ok(harness::Outcome::Refused(refusal)) = outcome else { panic!("{outcome:?}") };
    assert_eq!((refusal.kind, &*refusal.reason), (request::RefusalKind::NotRun, "isolated"));
    assert!(refusal.retry_after_ms.is_some());
}
