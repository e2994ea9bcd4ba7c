//! Daemons that are stopped gracefully.

use trefoildyke_types::{request, resource};

use crate::harness::{self, caller, layout};

const TOKENS: u32 = 120;

/// Starts a system with one engine place, one request that runs and one that waits, at daemon 0.
async fn busy(name: &str) -> (harness::Cluster, caller::Stream, caller::Stream) {
    let layout = harness::Layout { engines: 1, slots: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start(name, layout).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    let mut running = client.open(daemon, &caller::model(TOKENS)).await.unwrap();
    assert!(running.read_tokens(1).await);
    let waiting = request::RequestSpec { id: Some(caller::fresh()), ..caller::model(TOKENS) };
    let mut waiting = client.open(daemon, &waiting).await.unwrap();
    waiting.accepted().await;
    (cluster, running, waiting)
}

/// Checks that nothing was cut, what waited was refused truthfully, and the daemon ended.
async fn check(mut cluster: harness::Cluster, running: caller::Stream, waiting: caller::Stream) {
    let id = waiting.id.unwrap();
    let refusal = waiting.finish().await.refused();
    assert_eq!(refusal.kind, request::RefusalKind::NotRun);
    assert_eq!(refusal.reason, "stopping");
    let client = harness::Caller::default();
    match client.ask(cluster.daemons[0].callers, &caller::model(1)).await {
        harness::Outcome::Refused(refusal) => assert_eq!(refusal.reason, "stopping"),
        harness::Outcome::Broken(None, 0) => {}
        other => panic!("new work at a daemon that stops: {other:?}"),
    }
    let harness::Outcome::Whole(id_of_running, tokens) = running.finish().await else {
        panic!("a request in progress was cut");
    };
    assert_eq!(tokens, caller::expected(id_of_running, 0, TOKENS));
    let status = cluster.daemons[0].process.wait().await;
    assert!(status.success(), "{}", cluster.daemons[0].process.told());
    assert_eq!(cluster.starts_of(id).await, 0);
    // The refusal says to send it elsewhere, and there it runs.
    let again = request::RequestSpec { id: Some(id), attempt: 2, ..caller::model(TOKENS) };
    let tokens = client.ask(cluster.daemons[1].callers, &again).await.whole();
    assert_eq!(tokens, caller::expected(id, 0, TOKENS));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_signal_cuts_nothing_in_progress() {
    let (cluster, running, waiting) = busy("stop_signal").await;
    cluster.daemons[0].process.signal("TERM");
    check(cluster, running, waiting).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_of_the_host_cuts_nothing_in_progress() {
    let (cluster, running, waiting) = busy("stop_planned").await;
    let host = cluster.daemons[0].host.as_str().into();
    let stop = layout::planned_stop("maintenance", resource::StopTarget::Host(host));
    cluster.operator(1).apply(&[stop]).await.unwrap();
    check(cluster, running, waiting).await;
}
