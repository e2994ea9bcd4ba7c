//! Retries at a daemon where the request is still queued.

use trefoildyke_types::{request, resource};

use crate::{
    control,
    harness::{self, caller},
};

/// The caller may have retried at other daemons in between, so the daemon must close the identifier before it
/// answers `not_run`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_of_a_joined_retry_closes_the_id_first() {
    let layout = harness::Layout { engines: 1, services: 0, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("retry_join", layout).await;
    let target = resource::StopTarget::Pool("assistant".into());
    cluster.apply(&[harness::layout::planned_stop("all", target)]).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    let spec = request::RequestSpec {
        id: Some(caller::new_id()),
        deadline_ms: Some(3_000),
        ..caller::model_request(4)
    };
    let mut first = client.open(daemon, &spec).await.unwrap();
    first.wait_accepted().await;
    let retry = request::RequestSpec { attempt: 2, ..spec };
    let refusal = client.call(daemon, &retry).await.unwrap_refusal();
    assert_eq!(refusal.kind, request::RefusalKind::NotRun, "{refusal}");
    assert!(control::has_records(&cluster.kv).await, "the id was not closed");
}
