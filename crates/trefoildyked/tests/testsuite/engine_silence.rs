//! Engines that stand still for a while and go on.

use std::time;

use trefoildyke_types::request;

use crate::harness::{self, caller};

const TOKENS: u32 = 40;

/// Calls an engine that stands still for `pause`, from before the start of one answer and within another one.
async fn call_with_pause(
    name: &str,
    pause: time::Duration,
) -> Vec<(request::RequestSpec, harness::Outcome)> {
    let layout = harness::Layout { engines: 1, services: 0, ..harness::Layout::default() };
    let cluster = harness::Cluster::start(name, layout).await;
    let client = harness::Caller::default();
    let spec =
        || request::RequestSpec { id: Some(caller::new_id()), ..caller::model_request(TOKENS) };
    let (started, starting) = (spec(), spec());
    let daemon = cluster.daemons[0].callers;
    let mut running = client.open(daemon, &started).await.unwrap();
    assert!(running.read_tokens(3).await);
    cluster.engines[0].signal("STOP");
    let calls = async {
        let (first, second) = futures::join!(running.read_to_end(), client.call(daemon, &starting));
        vec![(started.clone(), first), (starting.clone(), second)]
    };
    let (outcomes, ()) = futures::join!(calls, async {
        tokio::time::sleep(pause).await;
        cluster.engines[0].signal("CONT");
    });
    outcomes
}

/// Guards against answers that are given up while their engine is about to go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_of_an_engine_that_stands_still_are_whole() {
    let pauses = [1_500, 2_500, 4_000];
    let calls = pauses.map(async |pause_ms| {
        let pause = time::Duration::from_millis(pause_ms);
        call_with_pause(&format!("silence_{pause_ms}"), pause).await
    });
    let all = futures::future::join_all(calls).await;
    let mut failures = Vec::new();
    for (pause_ms, outcomes) in pauses.into_iter().zip(all) {
        for (number, (spec, outcome)) in outcomes.into_iter().enumerate() {
            let expected = caller::expected_tokens(spec.id.unwrap(), 0, TOKENS);
            match outcome {
                harness::Outcome::Complete(_, tokens) if tokens == expected => {}
                other => failures.push(format!("{pause_ms} ms, request {number}: {other:?}")),
            }
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
