//! Operators who race, and writes whose answers are lost.

use trefoildyke_types::error;

use crate::{
    configuration::{standing, tier},
    harness,
};

/// Returns the rank that the extra tier of a round's operator has.
fn rank(round: usize, operator: usize) -> u8 {
    u8::try_from(10 + 2 * round + operator).unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_racing_operators_one_wins_and_nothing_is_half_applied() {
    let layout = harness::Layout { engines: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("configuration_race", layout).await;
    let (one, two) = (cluster.operator(0), cluster.operator(1));
    let mut version = cluster.apply(&[tier("contested", 9, 1, 0)]).await;
    for round in 0..8 {
        // Lost answers in every other round: the writer has to find out who was first.
        let calls = 1 + round % 3;
        let mode = if round % 2 == 0 { "ok" } else { "lose_answers" };
        cluster.set_mode(&cluster.kv, serde_json::json!({"mode": mode, "calls": calls})).await;
        let changes = [0, 1].map(|operator| {
            let extra = tier(&format!("extra-{round}-{operator}"), rank(round, operator), 5, 0);
            [extra, tier("contested", 9, 10 + operator as u64, version)]
        });
        let outcomes = tokio::join!(one.apply(&changes[0]), two.apply(&changes[1]));
        let (winner, accepted, lost) = match outcomes {
            (Ok(accepted), Err(error)) => (0, accepted, error),
            (Err(error), Ok(accepted)) => (1, accepted, error),
            both => panic!("round {round}: {both:?}"),
        };
        assert_eq!(lost.kind, error::ErrorKind::Conflict, "{lost}");
        assert_eq!(lost.context.current, Some(accepted.version), "{lost}");
        version = accepted.version;
        for operator in [&one, &two, &cluster.operator(2)] {
            harness::until("the winner's version is read", async || {
                (operator.overview().await.ok()?.version >= version).then_some(())
            })
            .await;
            let read = standing(operator, "contested").await;
            assert_eq!(read, Some((10 + winner as u64, version)));
            let extra = |operator| format!("extra-{round}-{operator}");
            assert!(standing(operator, &extra(winner)).await.is_some());
            assert!(standing(operator, &extra(1 - winner)).await.is_none());
        }
    }
}
