//! An engine whose answers come crossed.

use std::time;

use testbed::engine;
use trefoildyke_types::request;
use trefoildyke_wire::http;

use crate::{
    harness::{self, caller},
    switches,
};

const CALL: time::Duration = time::Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_was_crossed_is_had_whole_once_crossing_ends() {
    let layout = harness::Layout { engines: 1, services: 0, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("crossed_ends", layout).await;
    let engine = &cluster.engines[0];
    let client = harness::Caller::default();
    let cross = engine::Mode::new(engine::ModeKind::Cross).factor(2.0);
    switches::set(engine, &cross).await;
    let specs: Vec<_> = (0..8)
        .map(|_| request::RequestSpec { id: Some(caller::fresh()), ..caller::model(40) })
        .collect();
    // Every new connection begins crossed, so no answer can be had; the caller checks each chunk.
    let asked = specs.iter().map(|spec| client.ask(cluster.daemons[0].callers, spec));
    for outcome in futures::future::join_all(asked).await {
        assert_eq!(outcome.refused().kind, request::RefusalKind::OutcomeUnknown);
    }
    assert!(is_crossed(engine, specs[0].id.unwrap()).await, "the engine crossed nothing");
    switches::set(engine, &engine::Mode::new(engine::ModeKind::Ok)).await;
    for spec in &specs {
        let id = spec.id.unwrap();
        let again = request::RequestSpec { attempt: 2, ..spec.clone() };
        let tokens = client.ask(cluster.daemons[1].callers, &again).await.whole();
        assert_eq!(tokens, caller::expected(id, 0, 40));
        assert_eq!(cluster.starts_of(id).await, 1);
    }
}

/// Returns whether the engine's own answer names another request in its first chunk.
async fn is_crossed(engine: &harness::Process, id: trefoildyke_types::id::RequestId) -> bool {
    let uri = format!("http://{}/v1/streams/cascadia/{id}?offset=0", engine.address(""));
    let request = hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap();
    let response = http::Client::default().open(request, CALL).await.unwrap();
    let mut events = http::EventReader::new(response.into_body(), 1 << 20);
    while let Ok(Some(event)) = events.next(CALL).await {
        if let http::Event::Message { data, .. } = event {
            let chunk: request::Chunk = serde_json::from_str(&data).unwrap();
            return chunk.id != id;
        }
    }
    false
}
