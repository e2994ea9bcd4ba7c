//! Daemons that freeze and resume, and several daemons that die at once.

use trefoildyke_types::request;

use crate::harness::{self, caller};

const TOKENS: u32 = 150;

fn specs(count: usize) -> Vec<request::RequestSpec> {
    let spec =
        |_| request::RequestSpec { id: Some(caller::new_id()), ..caller::model_request(TOKENS) };
    (0..count).map(spec).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_coordinator_starts_nothing_twice_after_it_resumes() {
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
    harness::wait_until("the other daemons have taken over", async || {
        let overview = cluster.operator(1).overview().await.ok()?;
        (overview.live == 2).then_some(())
    })
    .await;
    let retries = specs.iter().map(|spec| {
        let spec = request::RequestSpec { attempt: 2, ..spec.clone() };
        let (client, daemon) = (client.clone(), cluster.daemons[1].callers);
        async move { client.call(daemon, &spec).await }
    });
    let (outcomes, ()) = futures::join!(futures::future::join_all(retries), async {
        // The frozen coordinator resumes while its requests run at another daemon.
        harness::wait_until("a queued request runs", async || {
            let starts = cluster.start_counts().await;
            (starts.len() > 4).then_some(())
        })
        .await;
        cluster.daemons[0].process.signal("CONT");
    });
    for (spec, outcome) in specs.iter().zip(outcomes) {
        let id = spec.id.unwrap();
        assert_eq!(outcome.unwrap_tokens(), caller::expected_tokens(id, 0, TOKENS));
    }
    // Answers that the first coordinator still sends to its callers must be correct if they are complete.
    let answered = std::time::Instant::now();
    for (spec, stream) in specs.iter().zip(frozen) {
        if let harness::Outcome::Complete(id, tokens) = stream.finish().await {
            assert_eq!(Some(id), spec.id);
            assert_eq!(tokens, caller::expected_tokens(id, 0, TOKENS));
        }
    }
    // The answers exist by now, so that no caller may wait for its deadline of 60 s.
    assert!(answered.elapsed() < std::time::Duration::from_secs(20), "{:?}", answered.elapsed());
    let starts = cluster.start_counts().await;
    assert_eq!(starts.len(), specs.len());
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_once_when_two_daemons_die_at_once() {
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
        async move { (client.call(daemon, &spec).await, offset) }
    });
    let outcomes = futures::future::join_all(retries).await;
    for (spec, (outcome, offset)) in specs.iter().zip(outcomes) {
        let id = spec.id.unwrap();
        assert_eq!(outcome.unwrap_tokens(), caller::expected_tokens(id, offset, TOKENS));
        assert_eq!(cluster.start_count(id).await, 1);
    }
}

/// Guards against a caller that is told its answer is lost while the coordinator of the answer is about to go
/// on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_follower_waits_for_a_coordinator_that_stands_still() {
    let pauses = [1_500, 2_500].map(async |pause_ms| {
        let layout = harness::Layout { call_ms: 6_000, ..harness::Layout::default() };
        let cluster = harness::Cluster::start(&format!("follow_{pause_ms}"), layout).await;
        let client = harness::Caller::default();
        let spec = caller::service_request(caller::new_id());
        let id = spec.id.unwrap();
        let mut first = client.open(cluster.daemons[0].callers, &spec).await.unwrap();
        first.wait_accepted().await;
        harness::wait_until("the call runs", async || {
            (cluster.start_count(id).await == 1).then_some(())
        })
        .await;
        let retry = request::RequestSpec { attempt: 2, ..spec.clone() };
        let follower = client.call(cluster.daemons[1].callers, &retry);
        let (outcome, ()) = futures::join!(follower, async {
            tokio::time::sleep(std::time::Duration::from_millis(500)).await;
            cluster.daemons[0].process.signal("STOP");
            tokio::time::sleep(std::time::Duration::from_millis(pause_ms)).await;
            cluster.daemons[0].process.signal("CONT");
        });
        let first = first.finish().await;
        assert!(matches!(first, harness::Outcome::Complete(..)), "{pause_ms} ms, first: {first:?}");
        (pause_ms, outcome)
    });
    for (pause_ms, outcome) in futures::future::join_all(pauses).await {
        assert!(matches!(outcome, harness::Outcome::Complete(..)), "{pause_ms} ms: {outcome:?}");
    }
}

/// Guards against a caller that waits until its deadline for an answer whose coordinator is dead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_follower_of_a_dead_coordinator_is_told_that_the_answer_is_lost() {
    let layout = harness::Layout { call_ms: 30_000, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("follow_dead", layout).await;
    let client = harness::Caller::default();
    let spec = caller::service_request(caller::new_id());
    let mut first = client.open(cluster.daemons[0].callers, &spec).await.unwrap();
    first.wait_accepted().await;
    harness::wait_until("the call runs", async || {
        (cluster.start_count(spec.id.unwrap()).await == 1).then_some(())
    })
    .await;
    let retry = request::RequestSpec { attempt: 2, ..spec.clone() };
    let mut follower = client.open(cluster.daemons[1].callers, &retry).await.unwrap();
    follower.wait_accepted().await;
    cluster.daemons[0].process.kill();
    let killed = std::time::Instant::now();
    let refusal = follower.finish().await.unwrap_refusal();
    assert_eq!(refusal.kind, request::RefusalKind::OutcomeUnknown);
    assert!(killed.elapsed() < std::time::Duration::from_secs(15), "{:?}", killed.elapsed());
}
