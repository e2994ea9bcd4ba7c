//! Daemons that die with requests in progress.

use std::time;

use trefoildyke_types::{id, request};

use crate::harness::{self, caller};

/// Retries as a caller does: at another daemon, with the next attempt number and the offset of the first
/// missing token.
///
/// Returns the last outcome and all received tokens.
async fn retry(
    client: &harness::Caller,
    daemon: std::net::SocketAddr,
    spec: &request::RequestSpec,
    mut tokens: Vec<String>,
) -> (harness::Outcome, Vec<String>) {
    let end = time::Instant::now() + harness::WAIT_TIMEOUT;
    let mut spec = spec.clone();
    loop {
        spec.attempt += 1;
        spec.offset = tokens.len() as u64;
        let outcome = match client.open(daemon, &spec).await {
            Ok(mut stream) => {
                let outcome = stream.read_to_end().await;
                tokens.append(&mut stream.tokens);
                outcome
            }
            Err(outcome) => outcome,
        };
        let delay_ms = match &outcome {
            harness::Outcome::Refused(refusal) => refusal.retry_after_ms,
            harness::Outcome::Broken(..) => Some(50),
            harness::Outcome::Complete(..) => None,
        };
        let Some(delay_ms) = delay_ms.filter(|_| time::Instant::now() < end) else {
            return (outcome, tokens);
        };
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
    }
}

/// Checks that a retried request has one complete answer or a correct refusal; returns whether it is
/// complete.
async fn check(
    cluster: &harness::Cluster,
    id: id::RequestId,
    count: u32,
    (outcome, tokens): (harness::Outcome, Vec<String>),
) -> bool {
    let starts = cluster.start_count(id).await;
    assert!(starts <= 1, "{id} was started {starts} times");
    match outcome {
        harness::Outcome::Complete(..) => {
            assert_eq!(starts, 1);
            assert_eq!(tokens, caller::expected_tokens(id, 0, count));
            true
        }
        harness::Outcome::Refused(refusal) => {
            match refusal.kind {
                request::RefusalKind::NotRun => assert_eq!(starts, 0, "{refusal}"),
                request::RefusalKind::OutcomeUnknown => {}
                _ => panic!("{refusal}"),
            }
            false
        }
        harness::Outcome::Broken(..) => panic!("no answer within the time limit"),
    }
}

const RUNNING: usize = 6;
const QUEUED: usize = 6;
const TOKENS: u32 = 150;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_of_a_killed_daemon_are_answered_once_elsewhere() {
    // Twelve requests for six slots: half of them are queued when the daemon dies.
    let layout = harness::Layout { slots: 3, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("kill", layout).await;
    let client = harness::Caller::default();
    let specs: Vec<_> = (0..RUNNING + QUEUED)
        .map(|_| request::RequestSpec {
            id: Some(caller::new_id()),
            ..caller::model_request(TOKENS)
        })
        .collect();
    let mut streams = vec![];
    for spec in &specs {
        streams.push(client.open(cluster.daemons[0].callers, spec).await.unwrap());
    }
    // At least this request is running, with a part of its answer received.
    assert!(streams[0].read_tokens(5).await);
    cluster.daemons[0].process.kill();
    let mut retries = vec![];
    for (spec, mut stream) in specs.iter().zip(streams) {
        let outcome = stream.read_to_end().await;
        assert!(matches!(outcome, harness::Outcome::Broken(..)), "{outcome:?}");
        retries.push(retry(&client, cluster.daemons[1].callers, spec, stream.tokens));
    }
    let outcomes = futures::future::join_all(retries).await;
    let mut complete = 0;
    for (spec, outcome) in specs.iter().zip(outcomes) {
        complete += usize::from(check(&cluster, spec.id.unwrap(), TOKENS, outcome).await);
    }
    // A request is lost to the caller only if the daemon dies after recording its intent and before
    // dispatching it.
    assert!(complete >= specs.len() - 2, "only {complete} of {} are complete", specs.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn non_idempotent_call_runs_once_when_its_daemon_dies() {
    let layout = harness::Layout { call_ms: 300, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("kill_service_call", layout).await;
    let client = harness::Caller::default();
    let spec = caller::service_request(caller::new_id());
    let mut stream = client.open(cluster.daemons[0].callers, &spec).await.unwrap();
    let id = stream.wait_accepted().await;
    harness::wait_until("the call is started", async || {
        (cluster.start_count(id).await == 1).then_some(())
    })
    .await;
    cluster.daemons[0].process.kill();
    let (outcome, _) = retry(&client, cluster.daemons[1].callers, &spec, vec![]).await;
    // The service keeps no answers, so the other daemon cannot know the outcome.
    assert_eq!(outcome.unwrap_refusal().kind, request::RefusalKind::OutcomeUnknown);
    assert_eq!(cluster.start_count(id).await, 1);
}
