//! A request that crashes every engine that runs it.
//!
//! Guards against starting the same input at one engine after the other under new identifiers.

use std::collections;

use trefoildyke_types::{id, request};

use crate::harness::{self, caller};

/// The number of engines that are killed while they run the request.
const ENGINE_ENDS: usize = 3;

/// Sends the request under a new identifier and kills the engine that starts it.
async fn kill_next_engine(
    cluster: &mut harness::Cluster,
    template: &request::RequestSpec,
    daemon: usize,
    ended: &mut collections::BTreeSet<usize>,
) {
    let client = harness::Caller::default();
    let id = caller::new_id();
    let spec = request::RequestSpec { id: Some(id), ..template.clone() };
    let address = cluster.daemons[daemon % cluster.daemons.len()].callers;
    let mut stream = client.open(address, &spec).await.unwrap();
    assert!(stream.read_tokens(1).await);
    let engine = engine_of(cluster, id, ended).await.unwrap();
    cluster.engines[engine].kill();
    ended.insert(engine);
    let outcome = stream.read_to_end().await;
    assert!(!matches!(outcome, harness::Outcome::Complete(..)), "{outcome:?}");
}

/// Returns the running engine that has started a request.
async fn engine_of(
    cluster: &harness::Cluster,
    id: id::RequestId,
    ended: &collections::BTreeSet<usize>,
) -> Option<usize> {
    for engine in (0..cluster.engines.len()).filter(|engine| !ended.contains(engine)) {
        if cluster.start_count_at(&cluster.engines[engine], id).await > 0 {
            return Some(engine);
        }
    }
    None
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_question_under_which_three_engines_ended_is_not_started_at_a_fourth() {
    let layout = harness::Layout { engines: ENGINE_ENDS + 1, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("crashes", layout).await;
    let template = caller::model_request(300);
    let mut ended = collections::BTreeSet::new();
    for daemon in 0..ENGINE_ENDS {
        kill_next_engine(&mut cluster, &template, daemon, &mut ended).await;
    }
    let client = harness::Caller::default();
    let address = cluster.daemons[0].callers;
    let fresh = || Some(caller::new_id());
    let other = "Another question.".to_owned();
    let other = request::RequestSpec { id: fresh(), input: other, ..template.clone() };
    let answer = client.call(address, &other).await;
    assert!(matches!(answer, harness::Outcome::Complete(..)), "{answer:?}");
    let id = caller::new_id();
    let answer =
        client.call(address, &request::RequestSpec { id: Some(id), ..template.clone() }).await;
    let fourth = (0..=ENGINE_ENDS).find(|engine| !ended.contains(engine)).unwrap();
    let starts = cluster.start_count_at(&cluster.engines[fourth], id).await;
    assert_eq!(starts, 0, "the request was started at a fourth engine: {starts}");
    let refusal = answer.unwrap_refusal();
    assert_eq!(refusal.kind, request::RefusalKind::NotRun, "{refusal}");
}
