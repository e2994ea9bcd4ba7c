//! Daemons that freeze and go on, and several that die at once.

use trefoildyke_types::request;

use crate::harness::{self, caller};

const TOKENS: u32 = 150;

fn specs(count: usize) -> Vec<request::RequestSpec> {
    let spec = |_| request::RequestSpec { id: Some(caller::fresh()), ..caller::model(TOKENS) };
    (0..count).map(spec).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_coordinator_that_freezes_and_goes_on_starts_nothing_twice() {
    let layout = harness::Layout { slots: 2, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("freeze", layout).await;
    let client = harness::Caller::default();
    let specs = specs(8);
    let mut frozen = vec![];
    for spec in &specs {
        frozen.push(client.open(cluster.daemons[0].callers, spec).await.unwrap());
    }
    assert!(frozen[0].read_tokens(3).await);
    cluster.daemons[0].process.signal("STOP");
    harness::until("the others have taken over", async || {
        let overview = cluster.operator(1).overview().await.ok()?;
        (overview.live == 2).then_some(())
    })
    .await;
    let retries = specs.iter().map(|spec| {
        let spec = request::RequestSpec { attempt: 2, ..spec.clone() };
        let (client, daemon) = (client.clone(), cluster.daemons[1].callers);
        async move { client.ask(daemon, &spec).await }
    });
    let (elsewhere, ()) = futures::join!(futures::future::join_all(retries), async {
        // The frozen coordinator wakes up while its requests run elsewhere.
        harness::until("a request that waited runs", async || {
            let starts = cluster.starts().await;
            (starts.len() > 4).then_some(())
        })
        .await;
        cluster.daemons[0].process.signal("CONT");
    });
    for (spec, outcome) in specs.iter().zip(elsewhere) {
        let id = spec.id.unwrap();
        assert_eq!(outcome.whole(), caller::expected(id, 0, TOKENS));
    }
    // What the first coordinator still tells its callers is as whole or as truthful.
    for (spec, stream) in specs.iter().zip(frozen) {
        if let harness::Outcome::Whole(id, tokens) = stream.finish().await {
            assert_eq!(Some(id), spec.id);
            assert_eq!(tokens, caller::expected(id, 0, TOKENS));
        }
    }
    let starts = cluster.starts().await;
    assert_eq!(starts.len(), specs.len());
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_daemons_at_once_lose_and_double_nothing() {
    let layout = harness::Layout { daemons: 4, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("two_at_once", layout).await;
    let client = harness::Caller::default();
    let specs = specs(10);
    let mut streams = vec![];
    for (index, spec) in specs.iter().enumerate() {
        let daemon = cluster.daemons[index % 2].callers;
        let mut stream = client.open(daemon, spec).await.unwrap();
        assert!(stream.read_tokens(1).await);
        streams.push(stream);
    }
    for daemon in &mut cluster.daemons[..2] {
        daemon.process.kill();
    }
    let retries = specs.iter().zip(&streams).enumerate().map(|(index, (spec, stream))| {
        let offset = stream.tokens.len() as u64;
        let spec = request::RequestSpec { attempt: 2, offset, ..spec.clone() };
        let (client, daemon) = (client.clone(), cluster.daemons[2 + index % 2].callers);
        async move { (client.ask(daemon, &spec).await, offset) }
    });
    let outcomes = futures::future::join_all(retries).await;
    for (spec, (outcome, offset)) in specs.iter().zip(outcomes) {
        let id = spec.id.unwrap();
        assert_eq!(outcome.whole(), caller::expected(id, offset, TOKENS));
        assert_eq!(cluster.starts_of(id).await, 1);
    }
}
