//! Refusals are final at once.

use std::{collections, time};

use testbed::switch;
use trefoildyke_types::{id, request};

use crate::{
    harness::{self, caller},
    switches,
};

/// Far above what is measured, for a busy machine.
const BOUND: time::Duration = time::Duration::from_secs(5);

fn print(name: &str, mut times: Vec<time::Duration>) {
    times.sort_unstable();
    let (middle, most) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{name}: {} refusals, middle {middle:?}, most {most:?}", times.len());
    assert!(most < BOUND, "{name}: {most:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_at_the_door_is_immediate() {
    let cluster = harness::Cluster::start("prompt_door", harness::Layout::default()).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    switches::set(&cluster.kv, &switch::Mode::new(switch::ModeKind::Down)).await;
    harness::until("the outage is known", async || {
        let outcome = client.ask(daemon, &caller::letter(caller::fresh())).await;
        (outcome.refused().reason == "record_unavailable").then_some(())
    })
    .await;
    let mut times = vec![];
    for _ in 0..50 {
        let begun = time::Instant::now();
        let refusal = client.ask(daemon, &caller::letter(caller::fresh())).await.refused();
        times.push(begun.elapsed());
        assert_eq!(refusal.kind, request::RefusalKind::NotRun);
        assert!(refusal.retry_after_ms.is_some());
    }
    print("outage, from request to refusal", times);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_is_given_up_on_is_answered_at_once() {
    let layout = harness::Layout { engines: 1, services: 0, slots: 1, ..Default::default() };
    let cluster = harness::Cluster::start("prompt_shed", layout).await;
    let client = harness::Caller::default();
    let daemon = &cluster.daemons[0];
    let spec = |_: usize| request::RequestSpec {
        id: Some(caller::fresh()),
        class: "status".to_owned(),
        deadline_ms: Some(800),
        ..caller::model(400)
    };
    let specs: Vec<_> = (0..40).map(spec).collect();
    let asked = specs.iter().map(|spec| async {
        let outcome = client.ask(daemon.callers, spec).await;
        (spec.id.unwrap(), outcome, time::SystemTime::now())
    });
    let ended = futures::future::join_all(asked).await;
    let decided = decided(&cluster).await;
    let mut times = vec![];
    for (id, outcome, told) in ended {
        let harness::Outcome::Refused(refusal) = outcome else { continue };
        assert!(refusal.kind != request::RefusalKind::NotRun || refusal.retry_after_ms.is_some());
        if let Some(decided) = decided.get(&id) {
            times.push(told.duration_since(*decided).unwrap_or_default());
        }
    }
    assert!(!times.is_empty(), "nothing was given up on");
    print("overload, from decision to answer", times);
}

/// Returns when each request was shed or its deadline passed, by the daemon's own time line.
async fn decided(
    cluster: &harness::Cluster,
) -> collections::BTreeMap<id::RequestId, time::SystemTime> {
    let events = cluster.operator(0).all_events(cluster.daemons[0].operators, 0).await.unwrap();
    let mut decided = collections::BTreeMap::new();
    for event in events {
        let gives_up = event.detail.starts_with("Shed") || event.detail == "DeadlinePassed";
        if let Some(key) = event.key.filter(|_| event.kind == "input" && gives_up) {
            let at = time::UNIX_EPOCH + time::Duration::from_micros(event.time_us);
            decided.entry(key.id).or_insert(at);
        }
    }
    decided
}
