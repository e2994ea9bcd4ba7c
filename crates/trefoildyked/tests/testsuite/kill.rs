//! Daemons that die with requests in progress.

use std::time;

use trefoildyke_types::request;

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
