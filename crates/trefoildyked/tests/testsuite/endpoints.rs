//! Endpoints that leave, misbehave or receive orders.

use std::time;

use trefoildyke_types::{id, resource};
use trefoildyke_wire::{http, platform::message};

use crate::harness::{self, caller};

/// The time after which a leaving host receives no requests: the bound of the invariant `LeavingGetsNothing`
/// in docs/design/endpoints.md.
const LEAVING_BOUND: time::Duration = time::Duration::from_secs(5);
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Posts a JSON body to a testbed process.
async fn post(process: &harness::Process, path: &str, body: &impl serde::Serialize) {
    let uri = format!("http://{}{path}", process.address(""));
    let request = http::json_request(hyper::Method::POST, &uri, body).unwrap();
    let reply = http::Client::default().call(request, CALL_TIMEOUT).await.unwrap();
    assert_eq!(reply.status(), hyper::StatusCode::OK);
}

/// Returns the ledger of an endpoint.
async fn ledger(process: &harness::Process) -> serde_json::Value {
    let uri = format!("http://{}/v1/ledger", process.address(""));
    let request = hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap();
    http::parse(&http::Client::default().call(request, CALL_TIMEOUT).await.unwrap()).unwrap()
}

/// Returns how many requests an endpoint has started.
async fn started(process: &harness::Process) -> usize {
    ledger(process).await["starts"].as_object().unwrap().len()
}

fn host(name: &str, state: message::HostState) -> message::Host {
    message::Host {
        host: id::HostName::new(name),
        zone: "salem".into(),
        state,
        role: message::HostRole::Endpoint,
        peer: None,
    }
}

/// Sends requests to the daemons in turn until `enough` returns true, and checks every answer.
async fn call_until(cluster: &harness::Cluster, mut enough: impl AsyncFnMut() -> bool) {
    let client = harness::Caller::default();
    let end = time::Instant::now() + harness::WAIT_TIMEOUT;
    for daemon in cluster.daemons.iter().cycle() {
        let outcome = client.call(daemon.callers, &caller::model_request(3)).await;
        let harness::Outcome::Complete(id, tokens) = outcome else { panic!("{outcome:?}") };
        assert_eq!(tokens, caller::expected_tokens(id, 0, 3));
        if enough().await {
            return;
        }
        assert!(time::Instant::now() < end, "the condition did not hold in time");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_host_gets_no_requests_after_the_bound() {
    let cluster = harness::Cluster::start("leaving", harness::Layout::default()).await;
    let [leaving, staying] = &cluster.engines[..] else { panic!() };
    // The other engine leaves first, so that the engine under test is known to receive requests.
    let one_leaving = |leaving: &str, live: &str| message::HostList {
        hosts: vec![
            host(leaving, message::HostState::Leaving),
            host(live, message::HostState::Live),
        ],
        as_of_ms: 0,
    };
    let list = one_leaving("host-of-engine-1", "host-of-engine-0");
    post(&cluster.hosts, "/admin/hosts", &list).await;
    let before = started(leaving).await;
    call_until(&cluster, async || started(leaving).await > before + 3).await;
    let list = one_leaving("host-of-engine-0", "host-of-engine-1");
    post(&cluster.hosts, "/admin/hosts", &list).await;
    // The host service publishes the change after a lag of one second; the bound counts from then.
    tokio::time::sleep(time::Duration::from_secs(1) + LEAVING_BOUND).await;
    let (before, other) = (started(leaving).await, started(staying).await);
    call_until(&cluster, async || started(staying).await > other + 10).await;
    assert_eq!(started(leaving).await, before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn misrouted_answers_never_reach_a_caller() {
    let cluster = harness::Cluster::start("misrouted", harness::Layout::default()).await;
    call_until(&cluster, async || true).await;
    let mode = serde_json::json!({"mode": "cross", "factor": 1.0});
    for engine in &cluster.engines {
        post(engine, "/admin/mode", &mode).await;
    }
    // The first chunk of every connection belongs to another request, so no answer is complete: the harness
    // checks each chunk, and the request ends in a correct refusal.
    let client = harness::Caller::default();
    let outcome = client.call(cluster.daemons[0].callers, &caller::model_request(3)).await;
    let refusal = outcome.unwrap_refusal();
    assert_eq!(refusal.kind, trefoildyke_types::request::RefusalKind::OutcomeUnknown);
    for engine in &cluster.engines {
        post(engine, "/admin/mode", &serde_json::json!({"mode": "ok"})).await;
    }
    call_until(&cluster, async || true).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_survives_a_silent_connection_without_a_restart() {
    let cluster = harness::Cluster::start("silent", harness::Layout::default()).await;
    let slow = serde_json::json!({"mode": "straggle", "factor": 20.0});
    for engine in &cluster.engines {
        post(engine, "/admin/mode", &slow).await;
    }
    let client = harness::Caller::default();
    let mut stream =
        client.open(cluster.daemons[0].callers, &caller::model_request(60)).await.unwrap();
    let id = stream.wait_accepted().await;
    harness::wait_until("the request is started", async || {
        (cluster.start_count(id).await == 1).then_some(())
    })
    .await;
    for engine in &cluster.engines {
        post(engine, "/admin/mode", &serde_json::json!({"mode": "silent"})).await;
    }
    assert_eq!(stream.finish().await.unwrap_tokens(), caller::expected_tokens(id, 0, 60));
    assert_eq!(cluster.start_count(id).await, 1);
    let mut prefilled = 0;
    for engine in &cluster.engines {
        prefilled += ledger(engine).await["prefilled_tokens"].as_u64().unwrap();
    }
    assert_eq!(prefilled, 64);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn order_is_executed_once_when_a_daemon_dies() {
    let mut cluster = harness::Cluster::start("order", harness::Layout::default()).await;
    let order = |role: &str| {
        let action = resource::OrderAction::SetRole { role: role.to_owned() };
        let spec = resource::EngineOrderSpec { endpoint: "engine-0".into(), action };
        resource::Resource {
            name: "role".to_owned(),
            spec: resource::Spec::EngineOrder(spec),
            generation: 0,
            resource_version: 0,
            status: None,
        }
    };
    cluster.apply(&[order("decode")]).await;
    wait_done(&cluster, 1, 2).await;
    cluster.daemons[0].process.kill();
    let operator = cluster.operator(1);
    harness::wait_until("the second order is accepted", async || {
        let mut next = order("prefill");
        next.resource_version = operator.get(&order_key()).await.ok()?.resource_version;
        operator.apply(&[next]).await.ok()
    })
    .await;
    wait_done(&cluster, 2, 1).await;
    let ledger = ledger(&cluster.engines[0]).await;
    let executed = ledger["orders"].as_array().unwrap();
    let names: Vec<_> = executed.iter().map(|order| order["order"].as_str().unwrap()).collect();
    assert_eq!(names, ["role/1", "role/2"]);
}

fn order_key() -> resource::ResourceKey {
    resource::ResourceKey { kind: resource::Kind::EngineOrder, name: "role".to_owned() }
}

/// Waits until a daemon reports the phase `Done` for a generation of the order.
async fn wait_done(cluster: &harness::Cluster, generation: u64, daemon: usize) {
    let operator = cluster.operator(daemon);
    harness::wait_until("the order is done", async || {
        let order = operator.get(&order_key()).await.ok()?;
        let phase = order.status?.phase;
        (order.generation == generation && phase == resource::Phase::Done).then_some(())
    })
    .await;
}
