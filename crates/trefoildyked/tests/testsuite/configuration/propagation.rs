//! Checks how long a change takes to be in force on every daemon, and that no daemon reports it too early.

use std::time;

use crate::{configuration::tier, harness};

/// The required bound on the time until a change is in force.
const MAX_DELAY: time::Duration = time::Duration::from_secs(9);

/// How long to check that a change is not reported as in force too early.
const CHECK_DURATION: time::Duration = time::Duration::from_secs(2);

/// Applies changes at different daemons; returns for each the time until the last daemon has it and the time
/// until it is reported as in force.
async fn measure(name: &str, daemons: usize, rounds: usize) -> Vec<[time::Duration; 2]> {
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
            harness::wait_until("a daemon has the version", async || {
                (operator.overview().await.ok()?.version >= version).then_some(())
            })
            .await;
        }
        let everywhere = start.elapsed();
        harness::wait_until("the writer reports the version as in force", async || {
            (writer.overview().await.ok()?.in_force >= version).then_some(())
        })
        .await;
        times.push([everywhere, start.elapsed()]);
    }
    times
}

/// Prints the median and the worst times and checks the bound.
fn check(daemons: usize, times: &[[time::Duration; 2]]) {
    for (index, what) in ["on every daemon", "reported as in force"].iter().enumerate() {
        let mut sorted: Vec<_> = times.iter().map(|both| both[index]).collect();
        sorted.sort();
        let (median, worst) = (sorted[sorted.len() / 2], sorted[sorted.len() - 1]);
        println!("{daemons} daemons, {what}: median {median:?}, worst {worst:?}");
        assert!(worst < MAX_DELAY);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_on_3_daemons_within_the_bound() {
    check(3, &measure("propagation_3", 3, 12).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_on_8_daemons_within_the_bound() {
    check(8, &measure("propagation_8", 8, 12).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_not_in_force_while_a_live_daemon_lags() {
    let layout = harness::Layout { engines: 1, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("configuration_lag", layout).await;
    let before = cluster.apply(&[tier("t", 9, 1, 0)]).await;
    let (one, two, paused) = (cluster.operator(0), cluster.operator(1), cluster.operator(2));
    cluster.daemons[2].process.signal("STOP");
    let version = one.apply(&[tier("t", 9, 2, before)]).await.unwrap().version;
    harness::wait_until("the other daemon has the version", async || {
        (two.overview().await.ok()?.version >= version).then_some(())
    })
    .await;
    let end = time::Instant::now() + CHECK_DURATION;
    while time::Instant::now() < end {
        for operator in [&one, &two] {
            // The paused daemon does not count once it is considered dead.
            let overview = operator.overview().await.unwrap();
            assert!(overview.in_force < version || overview.live < 3, "{overview:?}");
        }
    }
    cluster.daemons[2].process.signal("CONT");
    harness::wait_until("the version is in force", async || {
        (one.overview().await.ok()?.in_force >= version).then_some(())
    })
    .await;
    harness::wait_until("the paused daemon has the version", async || {
        (paused.overview().await.ok()?.version >= version).then_some(())
    })
    .await;
}
