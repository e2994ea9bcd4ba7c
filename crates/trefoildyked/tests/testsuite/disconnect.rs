//! Connections that break and daemons that are isolated.

use std::time;

use trefoildyke_types::request;

use crate::harness::{self, caller};

const TOKENS: u32 = 100;

/// Far above the three seconds after which a daemon counts as isolated, far below the deadline.
const REFUSAL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_resumes_at_any_daemon_after_a_broken_connection() {
    let cluster = harness::Cluster::start("disconnect_caller", harness::Layout::default()).await;
    let client = harness::Caller::default();
    for daemon in [0, 1, 2] {
        let mut stream =
            client.open(cluster.daemons[0].callers, &caller::model_request(TOKENS)).await.unwrap();
        assert!(stream.read_tokens(3).await);
        let (id, received) = (stream.id.unwrap(), stream.tokens.len() as u64);
        drop(stream);
        let stream = client.resume(cluster.daemons[daemon].callers, id, received).await;
        let tokens =
            stream.unwrap_or_else(|outcome| panic!("{outcome:?}")).finish().await.unwrap_tokens();
        assert_eq!(tokens, caller::expected_tokens(id, received, TOKENS));
        assert_eq!(cluster.start_count(id).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_request_resumes_through_a_peer() {
    let layout = harness::Layout { engines: 1, slots: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("disconnect_queued", layout).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    // The running request takes longer than a peer waits in one call, so that the peer has to call again.
    let mut running = client.open(daemon, &caller::model_request(400)).await.unwrap();
    assert!(running.read_tokens(1).await);
    let mut queued = client.open(daemon, &caller::model_request(TOKENS)).await.unwrap();
    let id = queued.wait_accepted().await;
    drop(queued);
    let stream = client.resume(cluster.daemons[1].callers, id, 0).await;
    let tokens =
        stream.unwrap_or_else(|outcome| panic!("{outcome:?}")).finish().await.unwrap_tokens();
    assert_eq!(tokens, caller::expected_tokens(id, 0, TOKENS));
    running.finish().await.unwrap_tokens();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn isolated_daemon_refuses_new_requests() {
    let mut cluster =
        harness::Cluster::start("disconnect_daemon", harness::Layout::default()).await;
    let client = harness::Caller::default();
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "silent"})).await;
    for daemon in &mut cluster.daemons[1..] {
        daemon.process.kill();
    }
    let refusal = harness::wait_until("new requests are refused", async || {
        match client.call(cluster.daemons[0].callers, &caller::model_request(2)).await {
            harness::Outcome::Refused(refusal) if refusal.reason == "isolated" => Some(refusal),
            _ => None,
        }
    })
    .await;
    assert_eq!(refusal.kind, request::RefusalKind::NotRun);
    assert!(refusal.retry_after_ms.is_some());
    // The daemon recovers without a restart.
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "ok"})).await;
    harness::wait_until("new requests are accepted again", async || {
        let outcome = client.call(cluster.daemons[0].callers, &caller::model_request(2)).await;
        matches!(outcome, harness::Outcome::Complete(..)).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_requests_are_refused_when_the_daemon_is_isolated() {
    let layout = harness::Layout { engines: 1, slots: 1, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("disconnect_isolated", layout).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    let mut running = client.open(daemon, &caller::model_request(4_000)).await.unwrap();
    assert!(running.read_tokens(1).await);
    let mut queued = client.open(daemon, &caller::model_request(TOKENS)).await.unwrap();
    queued.wait_accepted().await;
    cluster.set_mode(&cluster.kv, serde_json::json!({"mode": "silent"})).await;
    for daemon in &mut cluster.daemons[1..] {
        daemon.process.kill();
    }
    let outcome = tokio::time::timeout(REFUSAL_TIMEOUT, queued.finish()).await;
    let Ok(harness::Outcome::Refused(refusal)) = outcome else { panic!("{outcome:?}") };
    assert_eq!((refusal.kind, &*refusal.reason), (request::RefusalKind::NotRun, "isolated"));
    assert!(refusal.retry_after_ms.is_some());
}
