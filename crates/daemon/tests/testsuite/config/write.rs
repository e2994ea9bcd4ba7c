//! Tests of writes: changes, racing operators and lost answers.

use testbed::switch;
use trefoildyke_types::error;

use crate::config::nodes::{Nodes, deadline, reaches, settings, tier};
use trefoildyke_daemon::config as service;

#[tokio::test]
async fn an_accepted_change_is_in_force_on_every_node() {
    let mut nodes = Nodes::new(settings()).await;
    let all: Vec<_> = (0..3).map(|_| nodes.start()).collect();
    let accepted = all[0].handle.write(&tier(0, 5, 0)).await.unwrap();
    assert_eq!(accepted.version(), 1);
    for node in &all {
        reaches(node, 1).await;
        assert_eq!(deadline(node, 0), Some(5));
    }
}

#[tokio::test]
async fn operators_that_race_on_a_resource_get_one_winner() {
    let mut nodes = Nodes::new(settings()).await;
    let all: Vec<_> = (0..3).map(|_| nodes.start()).collect();
    all[0].handle.write(&tier(0, 1, 0)).await.unwrap();
    for round in 1..10 {
        let writes = all.iter().zip([10, 20, 30]).map(|(node, deadline_ms)| async move {
            node.handle.write(&tier(0, deadline_ms, round)).await.map(|_| deadline_ms)
        });
        let outcomes = futures::future::join_all(writes).await;
        let wins: Vec<_> = outcomes.iter().flatten().collect();
        assert_eq!(wins.len(), 1, "{outcomes:?}");
        for error in outcomes.iter().filter_map(|outcome| outcome.as_ref().err()) {
            assert_eq!(error.kind, error::ErrorKind::Conflict);
            assert_eq!(error.context.current, Some(round + 1), "{error}");
        }
        for node in &all {
            reaches(node, round + 1).await;
            assert_eq!(deadline(node, 0), Some(*wins[0]));
        }
    }
}

#[tokio::test]
async fn operators_on_different_resources_all_succeed() {
    let mut nodes = Nodes::new(settings()).await;
    let all: Vec<_> = (0..3).map(|_| nodes.start()).collect();
    let writes = (0..12_u8).map(|rank| {
        let handle = &all[usize::from(rank) % all.len()].handle;
        async move { handle.write(&tier(rank, 5, 0)).await }
    });
    for outcome in futures::future::join_all(writes).await {
        outcome.unwrap();
    }
    reaches(&all[0], 12).await;
    assert_eq!(all[0].handle.snapshot().resources().len(), 12);
}

#[tokio::test]
async fn a_lost_answer_is_resolved_before_the_write_returns() {
    let mut nodes = Nodes::new(settings()).await;
    let node = nodes.start();
    for round in 0..5 {
        nodes.kv.set_mode(switch::Mode::new(switch::ModeKind::LoseAnswers).calls(1));
        let accepted = node.handle.write(&tier(0, round + 1, round)).await;
        assert_eq!(accepted.unwrap().version(), round + 1);
    }
    assert_eq!(node.handle.snapshot().version(), 5);
}

#[tokio::test]
async fn a_lost_answer_during_a_race_reports_the_right_winner() {
    let mut nodes = Nodes::new(settings()).await;
    let (one, two) = (nodes.start(), nodes.start());
    one.handle.write(&tier(0, 1, 0)).await.unwrap();
    for round in 1..8 {
        nodes.kv.set_mode(switch::Mode::new(switch::ModeKind::LoseAnswers).calls(2));
        let (first, second) = (tier(0, 10, round), tier(0, 20, round));
        let outcomes = tokio::join!(one.handle.write(&first), two.handle.write(&second));
        let (winner, loser) = match outcomes {
            (Ok(_), Err(error)) => (10, error),
            (Err(error), Ok(_)) => (20, error),
            both => panic!("{both:?}"),
        };
        assert_eq!(loser.kind, error::ErrorKind::Conflict, "{loser}");
        reaches(&one, round + 1).await;
        assert_eq!(deadline(&one, 0), Some(winner));
    }
}

#[tokio::test]
async fn occasional_read_failures_do_not_reject_the_change() {
    let mut nodes = Nodes::new(settings()).await;
    let node = nodes.start();
    node.handle.write(&tier(0, 1, 0)).await.unwrap();
    for round in 1..6 {
        nodes.kv.set_mode(switch::Mode::new(switch::ModeKind::Down).calls(2));
        let accepted = node.handle.write(&tier(0, 1 + round, round)).await.unwrap();
        assert_eq!(accepted.version(), round + 1);
    }
}

#[tokio::test]
async fn an_outage_before_the_write_is_unavailable() {
    let mut nodes = Nodes::new(settings()).await;
    let node = nodes.start();
    nodes.mode(switch::ModeKind::Down);
    let error = node.handle.write(&tier(0, 5, 0)).await.unwrap_err();
    assert_eq!(error.kind, error::ErrorKind::Unavailable);
    nodes.mode(switch::ModeKind::Ok);
    assert!(nodes.kv.entries("config/").is_empty());
}

#[tokio::test]
async fn an_outage_that_loses_the_answer_is_unsure_and_the_change_visible_later() {
    let settings = service::Settings { write_ms: 700, ..settings() };
    let mut nodes = Nodes::new(settings).await;
    let node = nodes.start();
    nodes.mode(switch::ModeKind::LoseAnswers);
    let set = tier(0, 5, 0);
    let write = node.handle.write(&set);
    let start_outage = async {
        while nodes.kv.entries("config/root").is_empty() {
            tokio::task::yield_now().await;
        }
        nodes.mode(switch::ModeKind::Down);
    };
    let (outcome, ()) = tokio::join!(write, start_outage);
    if let Err(error) = outcome {
        assert_eq!(error.kind, error::ErrorKind::Unsure);
    }
    nodes.mode(switch::ModeKind::Ok);
    reaches(&node, 1).await;
    assert_eq!(deadline(&node, 0), Some(5));
}
