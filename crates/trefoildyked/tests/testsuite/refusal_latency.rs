//! Refusals are sent without delay.

use std::{collections, time};

use testbed::switch;
use trefoildyke_types::{id, request};

use crate::{
    control,
    harness::{self, caller},
};

/// The bound on the delay of a refusal, generous enough for a busy machine.
const MAX_DELAY: time::Duration = time::Duration::from_secs(5);

/// Prints the median and the longest delay and checks the bound.
fn check(name: &str, mut times: Vec<time::Duration>) {
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{name}: {} refusals, median {median:?}, longest {longest:?}", times.len());
    assert!(longest < MAX_DELAY, "{name}: {longest:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusal_on_arrival_is_immediate() {
    let cluster = harness::Cluster::start("latency_arrival", harness::Layout::default()).await;
    let client = harness::Caller::default();
    let daemon = cluster.daemons[0].callers;
    control::set_mode(&cluster.kv, &switch::Mode::new(switch::ModeKind::Down)).await;
    harness::wait_until("the outage is known", async || {
        let outcome = client.call(daemon, &caller::service_request(caller::new_id())).await;
        (outcome.unwrap_refusal().reason == "record_unavailable").then_some(())
    })
    .await;
    let mut times = vec![];
    for _ in 0..50 {
        let start = time::Instant::now();
        let refusal =
            client.call(daemon, &caller::service_request(caller::new_id())).await.unwrap_refusal();
        times.push(start.elapsed());
        assert_eq!(refusal.kind, request::RefusalKind::NotRun);
        assert!(refusal.retry_after_ms.is_some());
    }
    check("outage, from request to refusal", times);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shed_or_expired_request_is_refused_at_once() {
    let layout = harness::Layout { engines: 1, services: 0, slots: 1, ..Default::default() };
    let cluster = harness::Cluster::start("latency_shed", layout).await;
    let client = harness::Caller::default();
    let daemon = &cluster.daemons[0];
    let spec = |_: usize| request::RequestSpec {
        id: Some(caller::new_id()),
        class: "status".to_owned(),
        deadline_ms: Some(800),
        ..caller::model_request(400)
    };
    let specs: Vec<_> = (0..40).map(spec).collect();
    let calls = specs.iter().map(|spec| async {
        let outcome = client.call(daemon.callers, spec).await;
        (spec.id.unwrap(), outcome, time::SystemTime::now())
    });
    let ended = futures::future::join_all(calls).await;
    let decisions = decision_times(&cluster).await;
    let mut times = vec![];
    for (id, outcome, refused_at) in ended {
        let harness::Outcome::Refused(refusal) = outcome else { continue };
        assert!(refusal.kind != request::RefusalKind::NotRun || refusal.retry_after_ms.is_some());
        if let Some(decided) = decisions.get(&id) {
            times.push(refused_at.duration_since(*decided).unwrap_or_default());
        }
    }
    assert!(!times.is_empty(), "no request was shed or expired");
    check("overload, from decision to answer", times);
}

/// Returns when each request was shed or its deadline passed, from the timeline of the daemon.
async fn decision_times(
    cluster: &harness::Cluster,
) -> collections::BTreeMap<id::RequestId, time::SystemTime> {
    let events = cluster.operator(0).all_events(cluster.daemons[0].operators, 0).await.unwrap();
    let mut decisions = collections::BTreeMap::new();
    for event in events {
        let is_refusal = event.detail.starts_with("Shed") || event.detail == "DeadlinePassed";
        if let Some(key) = event.key.filter(|_| event.kind == "input" && is_refusal) {
            let at = time::UNIX_EPOCH + time::Duration::from_micros(event.time_us);
            decisions.entry(key.id).or_insert(at);
        }
    }
    decisions
}
