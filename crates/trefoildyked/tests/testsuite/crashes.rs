//! A request that ends every engine which runs it.
//!
//! The gateway recognises such a request and sends it nowhere any more. The daemon's own scheduler decides from each request's
//! identifier alone: the same question under a new one is a new request, and gets the next engine. Nothing here says yet that it should
//! not: `the request was started at a fourth engine: 1`.

use std::collections;

use trefoildyke_types::{id, request};

use crate::harness::{self, caller};

/// How many engines end under the request.
const ENDS: usize = 3;

/// Asks the question under a new identifier and ends the engine that begins to run it.
async fn end_one(
    cluster: &mut harness::Cluster,
    question: &request::RequestSpec,
    daemon: usize,
    ended: &mut collections::BTreeSet<usize>,
) {
    let client = harness::Caller::default();
    let id = caller::fresh();
    let spec = request::RequestSpec { id: Some(id), ..question.clone() };
    let address = cluster.daemons[daemon % cluster.daemons.len()].callers;
    let mut stream = client.open(address, &spec).await.unwrap();
    assert!(stream.read_tokens(1).await);
    let engine = engine_of(cluster, id, ended).await.unwrap();
    cluster.engines[engine].kill();
    ended.insert(engine);
    let end = stream.run().await;
    assert!(!matches!(end, harness::Outcome::Whole(..)), "{end:?}");
}

/// Returns the living engine that has started a request.
async fn engine_of(
    cluster: &harness::Cluster,
    id: id::RequestId,
    ended: &collections::BTreeSet<usize>,
) -> Option<usize> {
    for engine in (0..cluster.engines.len()).filter(|engine| !ended.contains(engine)) {
        if cluster.starts_at(&cluster.engines[engine], id).await > 0 {
            return Some(engine);
        }
    }
    None
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_question_under_which_three_engines_ended_is_not_started_at_a_fourth() {
    let layout = harness::Layout { engines: ENDS + 1, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("crashes", layout).await;
    let question = caller::model(300);
    let mut ended = collections::BTreeSet::new();
    for daemon in 0..ENDS {
        end_one(&mut cluster, &question, daemon, &mut ended).await;
    }
    let client = harness::Caller::default();
    let address = cluster.daemons[0].callers;
    let fresh = || Some(caller::fresh());
    let other = "Another question.".to_owned();
    let other = request::RequestSpec { id: fresh(), input: other, ..question.clone() };
    let answer = client.ask(address, &other).await;
    assert!(matches!(answer, harness::Outcome::Whole(..)), "{answer:?}");
    let id = caller::fresh();
    let answer =
        client.ask(address, &request::RequestSpec { id: Some(id), ..question.clone() }).await;
    let fourth = (0..=ENDS).find(|engine| !ended.contains(engine)).unwrap();
    let starts = cluster.starts_at(&cluster.engines[fourth], id).await;
    assert_eq!(starts, 0, "the request was started at a fourth engine: {starts}");
    let refusal = answer.refused();
    assert_eq!(refusal.kind, request::RefusalKind::NotRun, "{refusal}");
}
