//! Retries that come back to a daemon where the request still waits.

use trefoildyke_types::{request, resource};

use crate::{
    harness::{self, caller},
    switches,
};

/// The retry may have been to other daemons between, so `not_run` needs the identifier closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_to_a_retry_that_joined_closes_the_id_first() {
    let layout = harness::Layout { engines: 1, services: 0, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("rejoin", layout).await;
    let target = resource::StopTarget::Pool("assistant".into());
    cluster.apply(&[harness::layout::planned_stop("all", target)]).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    let spec = request::RequestSpec {
        id: Some(caller::fresh()),
        deadline_ms: Some(3_000),
        ..caller::model(4)
    };
    let mut first = client.open(daemon, &spec).await.unwrap();
    first.accepted().await;
    let retry = request::RequestSpec { attempt: 2, ..spec };
    let refusal = client.ask(daemon, &retry).await.refused();
    assert_eq!(refusal.kind, request::RefusalKind::NotRun, "{refusal}");
    assert!(switches::holds_record(&cluster.kv).await, "the id was not closed");
}
