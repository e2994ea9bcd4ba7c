//! How fast a change is in force everywhere, and that nobody says so too early.

use std::time;

use crate::{configuration::tier, harness};

/// The bound that the users set.
const BOUND: time::Duration = time::Duration::from_secs(9);

/// How long to look whether a change is falsely said to be in force.
const LOOK: time::Duration = time::Duration::from_secs(2);

/// Applies changes at different daemons and measures when the last daemon has each.
async fn spread(name: &str, daemons: usize, rounds: usize) -> Vec<[time::Duration; 2]> {
    let layout = harness::Layout { daemons, engines: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start(name, layout).await;
    let mut version = cluster.apply(&[tier("t", 9, 1, 0)]).await;
    let mut times = Vec::new();
    for round in 0..rounds {
        let writer = cluster.operator(round % daemons);
        let change = [tier("t", 9, 2 + round as u64, version)];
        version = writer.apply(&change).await.unwrap().version;
        let start = time::Instant::now();
        for daemon in 0..daemons {
            let operator = cluster.operator(daemon);
            harness::until("a daemon has the version", async || {
                (operator.overview().await.ok()?.version >= version).then_some(())
            })
            .await;
        }
        let everywhere = start.elapsed();
        harness::until("the status says so", async || {
            (writer.overview().await.ok()?.in_force >= version).then_some(())
        })
        .await;
        times.push([everywhere, start.elapsed()]);
    }
    times
}

/// Prints the times and checks the bound.
fn check(daemons: usize, times: &[[time::Duration; 2]]) {
    for (index, what) in ["on every daemon", "told as in force"].iter().enumerate() {
        let mut sorted: Vec<_> = times.iter().map(|both| both[index]).collect();
        sorted.sort();
        let (median, worst) = (sorted[sorted.len() / 2], sorted[sorted.len() - 1]);
        println!("{daemons} daemons, {what}: median {median:?}, worst {worst:?}");
        assert!(worst < BOUND);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_on_3_daemons_within_the_bound() {
    check(3, &spread("configuration_spread_3", 3, 12).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_on_8_daemons_within_the_bound() {
    check(8, &spread("configuration_spread_8", 8, 12).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_not_in_force_while_a_live_daemon_lags() {
    let layout = harness::Layout { engines: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("configuration_lag", layout).await;
    let before = cluster.apply(&[tier("t", 9, 1, 0)]).await;
    let (one, two, paused) = (cluster.operator(0), cluster.operator(1), cluster.operator(2));
    cluster.daemons[2].process.signal("STOP");
    let version = one.apply(&[tier("t", 9, 2, before)]).await.unwrap().version;
    harness::until("the other daemon has the version", async || {
        (two.overview().await.ok()?.version >= version).then_some(())
    })
    .await;
    let end = time::Instant::now() + LOOK;
    while time::Instant::now() < end {
        for operator in [&one, &two] {
            // Once it is called dead, the paused daemon does not count.
            let seen = operator.overview().await.unwrap();
            assert!(seen.in_force < version || seen.live < 3, "{seen:?}");
        }
    }
    cluster.daemons[2].process.signal("CONT");
    harness::until("the version is in force", async || {
        (one.overview().await.ok()?.in_force >= version).then_some(())
    })
    .await;
    harness::until("the paused daemon has it too", async || {
        (paused.overview().await.ok()?.version >= version).then_some(())
    })
    .await;
}
