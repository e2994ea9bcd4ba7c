//! Kills between the intent and the dispatch.

use trefoildyke_types::request;

use crate::{
    harness::{self, caller},
    letters::{Callers, is_whole},
    switches,
};

/// The window is held open: the endpoint that the permit names takes no connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kill_between_intent_and_dispatch_leaves_the_outcome_unknown() {
    let layout = harness::Layout { engines: 0, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("window_held", layout).await;
    let client = harness::Caller::default();
    let id = caller::fresh();
    cluster.services[0].kill();
    let opened = client.open(cluster.daemons[0].callers, &caller::letter(id)).await;
    harness::until("the intent is recorded", async || {
        switches::holds_record(&cluster.kv).await.then_some(())
    })
    .await;
    cluster.daemons[0].process.kill();
    drop(opened);
    let retry = request::RequestSpec { attempt: 2, ..caller::letter(id) };
    let refusal = client.ask(cluster.daemons[1].callers, &retry).await.refused();
    assert_eq!(refusal.kind, request::RefusalKind::OutcomeUnknown, "{refusal}");
}

/// Counts how often kills at random moments leave an intent without a start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn kills_at_random_moments_never_run_a_letter_twice() {
    let kills = std::env::var("KILLS").ok().and_then(|text| text.parse().ok()).unwrap_or(3);
    let layout = harness::Layout { engines: 0, services: 2, call_ms: 30, ..Default::default() };
    let mut cluster = harness::Cluster::start("window_random", layout).await;
    let (mut ended, mut unknown, mut idle) = (0, 0, 0);
    for _ in 0..kills {
        let daemons: Vec<_> = cluster.daemons.iter().map(|daemon| daemon.callers).collect();
        let callers = Callers::start(8, &daemons);
        callers.more("letters are answered", 10, is_whole).await;
        cluster.daemons[0].process.kill();
        callers.more("letters are answered after the kill", 10, is_whole).await;
        let ledger = callers.end().await;
        let starts = cluster.starts().await;
        ledger.check("a kill", &starts);
        ended += ledger.ended.len();
        for (id, outcome) in &ledger.ended {
            let is_unknown =
                crate::letters::is_refused(outcome, request::RefusalKind::OutcomeUnknown);
            unknown += usize::from(is_unknown);
            let started = starts.contains_key(&format!("cascadia/{id}"));
            idle += usize::from(is_unknown && !started);
        }
        cluster.daemons.remove(0);
        cluster.add_daemon();
    }
    println!("{kills} kills, {ended} letters: {unknown} unknown, {idle} of them never started");
}
