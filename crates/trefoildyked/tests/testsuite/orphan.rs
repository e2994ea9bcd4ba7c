//! Requests that continue at an endpoint after their coordinator died.

use trefoildyke_types::resource;
use trefoildyke_wire::http;

use crate::{
    control,
    harness::{self, caller, layout},
};

const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Returns how many streams the engine has completed.
async fn completed(engine: &harness::Process) -> u64 {
    let uri = format!("http://{}/v1/ledger", engine.address(""));
    let request = hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap();
    let reply = http::Client::default().call(request, CALL_TIMEOUT).await.unwrap();
    let ledger: serde_json::Value = http::parse(&reply).unwrap();
    ledger["completed"].as_u64().unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_waits_for_requests_of_a_dead_coordinator() {
    let layout = harness::Layout { engines: 1, services: 0, ..harness::Layout::default() };
    let mut cluster = harness::Cluster::start("orphan", layout).await;
    let slow = serde_json::json!({"mode": "straggle", "factor": 40.0});
    control::set_mode(&cluster.engines[0], &slow).await;
    let client = harness::Caller::default();
    let mut stream =
        client.open(cluster.daemons[0].callers, &caller::model_request(60)).await.unwrap();
    assert!(stream.read_tokens(1).await);
    cluster.daemons[0].process.kill();
    cluster.daemons.remove(0);
    let target = resource::StopTarget::Endpoint("engine-0".into());
    let key = resource::ResourceKey { kind: resource::Kind::PlannedStop, name: "one".to_owned() };
    let operator = cluster.operator(0);
    let stop = [layout::planned_stop("one", target)];
    harness::wait_until("the stop is accepted", async || operator.apply(&stop).await.ok()).await;
    harness::wait_until("the stop has ended", async || {
        let stop = operator.get(&key).await.ok()?;
        (stop.status?.phase == resource::Phase::Stopped).then_some(())
    })
    .await;
    assert_eq!(completed(&cluster.engines[0]).await, 1, "the stop ended before the request");
}
