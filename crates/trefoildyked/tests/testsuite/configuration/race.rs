//! Concurrent operators, and writes whose answers are lost.

use trefoildyke_types::error;

use crate::{
    configuration::{current_tier, tier},
    harness,
};

/// Returns the rank of the extra tier that an operator applies in a round.
fn rank(round: usize, operator: usize) -> u8 {
    u8::try_from(10 + 2 * round + operator).unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_concurrent_changes_is_applied_in_full() {
    let layout = harness::Layout { engines: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("configuration_race", layout).await;
    let (one, two) = (cluster.operator(0), cluster.operator(1));
    let mut version = cluster.apply(&[tier("contested", 9, 1, 0)]).await;
    for round in 0..8 {
        // Answers are lost in every other round, so the writer has to read which change came first.
        let calls = 1 + round % 3;
        let mode = if round % 2 == 0 { "ok" } else { "lose_answers" };
        cluster.set_mode(&cluster.kv, serde_json::json!({"mode": mode, "calls": calls})).await;
        let changes = [0, 1].map(|operator| {
            let extra = tier(&format!("extra-{round}-{operator}"), rank(round, operator), 5, 0);
            [extra, tier("contested", 9, 10 + operator as u64, version)]
        });
        let outcomes = tokio::join!(one.apply(&changes[0]), two.apply(&changes[1]));
        let (winner, accepted, conflict) = match outcomes {
            (Ok(accepted), Err(error)) => (0, accepted, error),
            (Err(error), Ok(accepted)) => (1, accepted, error),
            both => panic!("round {round}: {both:?}"),
        };
        assert_eq!(conflict.kind, error::ErrorKind::Conflict, "{conflict}");
        assert_eq!(conflict.context.current, Some(accepted.version), "{conflict}");
        version = accepted.version;
        for operator in [&one, &two, &cluster.operator(2)] {
            harness::wait_until("the winner's version is read", async || {
                (operator.overview().await.ok()?.version >= version).then_some(())
            })
            .await;
            let read = current_tier(operator, "contested").await;
            assert_eq!(read, Some((10 + winner as u64, version)));
            let extra = |operator| format!("extra-{round}-{operator}");
            assert!(current_tier(operator, &extra(winner)).await.is_some());
            assert!(current_tier(operator, &extra(1 - winner)).await.is_none());
        }
    }
}
