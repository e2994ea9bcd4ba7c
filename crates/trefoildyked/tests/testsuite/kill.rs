//! Daemons that die with requests in progress.

use std::time;

use trefoildyke_types::{id, request};

use crate::harness::{self, caller};

/// Retries as a caller does: another daemon, a higher attempt, the offset that is missing.
///
/// Returns the last outcome and all tokens together.
async fn retry(
    client: &harness::Caller,
    daemon: std::net::SocketAddr,
    spec: &request::RequestSpec,
    mut tokens: Vec<String>,
) -> (harness::Outcome, Vec<String>) {
    let end = time::Instant::now() + harness::LONG;
    let mut spec = spec.clone();
    loop {
        spec.attempt += 1;
        spec.offset = tokens.len() as u64;
        let outcome = match client.open(daemon, &spec).await {
            Ok(mut stream) => {
                let outcome = stream.run().await;
                tokens.append(&mut stream.tokens);
                outcome
            }
            Err(outcome) => outcome,
        };
        let again = match &outcome {
            harness::Outcome::Refused(refusal) => refusal.retry_after_ms,
            harness::Outcome::Broken(..) => Some(50),
            harness::Outcome::Whole(..) => None,
        };
        let Some(pause) = again.filter(|_| time::Instant::now() < end) else {
            return (outcome, tokens);
        };
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Checks that a retried request has one whole answer or a truthful refusal.
async fn check(
    cluster: &harness::Cluster,
    id: id::RequestId,
    count: u32,
    (outcome, tokens): (harness::Outcome, Vec<String>),
) -> bool {
    let starts = cluster.starts_of(id).await;
    assert!(starts <= 1, "{id} was started {starts} times");
    match outcome {
        harness::Outcome::Whole(..) => {
            assert_eq!(starts, 1);
            assert_eq!(tokens, caller::expected(id, 0, count));
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
        harness::Outcome::Broken(..) => panic!("no answer until the bound"),
    }
}

const RUNNING: usize = 6;
const WAITING: usize = 6;
const TOKENS: u32 = 150;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_daemons_requests_are_answered_once_elsewhere() {
    // Twelve requests for six slots: half of them wait when the daemon dies.
    let layout = harness::Layout { slots: 3, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("kill", layout).await;
    let client = harness::Caller::default();
    let specs: Vec<_> = (0..RUNNING + WAITING)
        .map(|_| request::RequestSpec { id: Some(caller::fresh()), ..caller::model(TOKENS) })
        .collect();
    let mut streams = vec![];
    for spec in &specs {
        streams.push(client.open(cluster.daemons[0].callers, spec).await.unwrap());
    }
    // One that runs for sure, with part of its answer received.
    assert!(streams[0].read_tokens(5).await);
    cluster.daemons[0].process.kill();
    let mut retries = vec![];
    for (spec, mut stream) in specs.iter().zip(streams) {
        let end = stream.run().await;
        assert!(matches!(end, harness::Outcome::Broken(..)), "{end:?}");
        retries.push(retry(&client, cluster.daemons[1].callers, spec, stream.tokens));
    }
    let outcomes = futures::future::join_all(retries).await;
    let mut whole = 0;
    for (spec, outcome) in specs.iter().zip(outcomes) {
        whole += usize::from(check(&cluster, spec.id.unwrap(), TOKENS, outcome).await);
    }
    // A request is lost to the caller only in the step between its intent and its dispatch.
    assert!(whole >= specs.len() - 2, "only {whole} of {} are whole", specs.len());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_letter_runs_once_whoever_dies() {
    let layout = harness::Layout { call_ms: 300, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("kill_letter", layout).await;
    let client = harness::Caller::default();
    let spec = caller::letter(caller::fresh());
    let mut stream = client.open(cluster.daemons[0].callers, &spec).await.unwrap();
    let id = stream.accepted().await;
    harness::until("the letter is started", async || {
        (cluster.starts_of(id).await == 1).then_some(())
    })
    .await;
    cluster.daemons[0].process.kill();
    let (outcome, _) = retry(&client, cluster.daemons[1].callers, &spec, vec![]).await;
    // The service keeps no answers, so the truth is that the outcome is not known here.
    assert_eq!(outcome.refused().kind, request::RefusalKind::OutcomeUnknown);
    assert_eq!(cluster.starts_of(id).await, 1);
}
