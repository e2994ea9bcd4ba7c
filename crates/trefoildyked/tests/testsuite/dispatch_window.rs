//! Daemons that are killed after they record the intent of a request and before they dispatch it.

use trefoildyke_types::request;

use crate::{
    control,
    harness::{self, caller},
    service_calls::{Callers, is_complete},
};

/// The daemon cannot dispatch the request, as the endpoint named by the permit accepts no connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kill_between_intent_and_dispatch_leaves_the_outcome_unknown() {
    let layout = harness::Layout { engines: 0, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("dispatch_window_held", layout).await;
    let client = harness::Caller::default();
    let id = caller::new_id();
    cluster.services[0].kill();
    let opened = client.open(cluster.daemons[0].callers, &caller::service_request(id)).await;
    harness::wait_until("the intent is recorded", async || {
        control::has_records(&cluster.kv).await.then_some(())
    })
    .await;
    cluster.daemons[0].process.kill();
    drop(opened);
    let retry = request::RequestSpec { attempt: 2, ..caller::service_request(id) };
    let refusal = client.call(cluster.daemons[1].callers, &retry).await.unwrap_refusal();
    assert_eq!(refusal.kind, request::RefusalKind::OutcomeUnknown, "{refusal}");
}

/// Kills daemons at random moments; checks that no call runs twice and counts the intents that were never
/// started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kills_at_random_moments_never_run_a_call_twice() {
    let kills = std::env::var("KILLS").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let layout = harness::Layout { engines: 0, services: 2, call_ms: 30, ..Default::default() };
    let mut cluster = harness::Cluster::start("dispatch_window_random", layout).await;
    let (mut finished, mut unknown, mut unstarted) = (0, 0, 0);
    for _ in 0..kills {
        let daemons: Vec<_> = cluster.daemons.iter().map(|daemon| daemon.callers).collect();
        let callers = Callers::start(8, &daemons);
        callers.wait_for_more("calls are answered", 10, is_complete).await;
        cluster.daemons[0].process.kill();
        callers.wait_for_more("calls are answered after the kill", 10, is_complete).await;
        let outcomes = callers.finish().await;
        let starts = cluster.start_counts().await;
        outcomes.check("a kill", &starts);
        finished += outcomes.by_id.len();
        for (id, outcome) in &outcomes.by_id {
            let is_unknown =
                crate::service_calls::is_refused(outcome, request::RefusalKind::OutcomeUnknown);
            unknown += usize::from(is_unknown);
            let started = starts.contains_key(&format!("cascadia/{id}"));
            unstarted += usize::from(is_unknown && !started);
        }
        cluster.daemons.remove(0);
        cluster.add_daemon();
    }
    println!(
        "{kills} kills, {finished} calls: {unknown} unknown, {unstarted} of them never started"
    );
}
