//! Graceful stops of daemons.

use trefoildyke_types::{request, resource};

use crate::harness::{self, caller, layout};

const TOKENS: u32 = 120;

/// Starts a system with one engine slot, and one running and one queued request at daemon 0.
async fn start_busy(name: &str) -> (harness::Cluster, caller::Stream, caller::Stream) {
    let layout = harness::Layout { engines: 1, slots: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start(name, layout).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    let mut running = client.open(daemon, &caller::model_request(TOKENS)).await.unwrap();
    assert!(running.read_tokens(1).await);
    let queued =
        request::RequestSpec { id: Some(caller::new_id()), ..caller::model_request(TOKENS) };
    let mut queued = client.open(daemon, &queued).await.unwrap();
    queued.wait_accepted().await;
    (cluster, running, queued)
}

/// Checks that the running request completed, the queued one was refused before it ran, and the daemon
/// exited.
async fn check(mut cluster: harness::Cluster, running: caller::Stream, queued: caller::Stream) {
    let id = queued.id.unwrap();
    let refusal = queued.finish().await.unwrap_refusal();
    assert_eq!(refusal.kind, request::RefusalKind::NotRun);
    assert_eq!(refusal.reason, "stopping");
    let client = harness::Caller::default();
    match client.call(cluster.daemons[0].callers, &caller::model_request(1)).await {
        harness::Outcome::Refused(refusal) => assert_eq!(refusal.reason, "stopping"),
        harness::Outcome::Broken(None, 0) => {}
        other => panic!("a new request at a stopping daemon: {other:?}"),
    }
    let harness::Outcome::Complete(running_id, tokens) = running.finish().await else {
        panic!("a request in progress was aborted");
    };
    assert_eq!(tokens, caller::expected_tokens(running_id, 0, TOKENS));
    let status = cluster.daemons[0].process.wait().await;
    assert!(status.success(), "{}", cluster.daemons[0].process.stderr());
    assert_eq!(cluster.start_count(id).await, 0);
    // After the refusal the request can be sent to another daemon, where it runs.
    let retry = request::RequestSpec { id: Some(id), attempt: 2, ..caller::model_request(TOKENS) };
    let tokens = client.call(cluster.daemons[1].callers, &retry).await.unwrap_tokens();
    assert_eq!(tokens, caller::expected_tokens(id, 0, TOKENS));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_lets_running_requests_complete() {
    let (cluster, running, queued) = start_busy("stop_signal").await;
    cluster.daemons[0].process.signal("TERM");
    check(cluster, running, queued).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_of_the_host_lets_running_requests_complete() {
    let (cluster, running, queued) = start_busy("stop_planned").await;
    let host = cluster.daemons[0].host.as_str().into();
    let stop = layout::planned_stop("maintenance", resource::StopTarget::Host(host));
    cluster.operator(1).apply(&[stop]).await.unwrap();
    check(cluster, running, queued).await;
}
