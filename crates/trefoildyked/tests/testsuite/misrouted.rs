//! An engine that answers a request with chunks of another request.

use std::time;

use testbed::engine;
use trefoildyke_types::request;
use trefoildyke_wire::http;

use crate::{
    control,
    harness::{self, caller},
};

const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_are_answered_in_full_once_misrouting_ends() {
    let layout = harness::Layout { engines: 1, services: 0, ..harness::Layout::default() };
    let cluster = harness::Cluster::start("misrouted_ends", layout).await;
    let engine = &cluster.engines[0];
    let client = harness::Caller::default();
    let cross = engine::Mode::new(engine::ModeKind::Cross).factor(2.0);
    control::set_mode(engine, &cross).await;
    let specs: Vec<_> = (0..8)
        .map(|_| request::RequestSpec { id: Some(caller::new_id()), ..caller::model_request(40) })
        .collect();
    // The first chunk of every new connection belongs to another request, so no answer is delivered. The
    // harness checks each chunk.
    let calls = specs.iter().map(|spec| client.call(cluster.daemons[0].callers, spec));
    for outcome in futures::future::join_all(calls).await {
        assert_eq!(outcome.unwrap_refusal().kind, request::RefusalKind::OutcomeUnknown);
    }
    assert!(is_misrouted(engine, specs[0].id.unwrap()).await, "the engine misrouted nothing");
    control::set_mode(engine, &engine::Mode::new(engine::ModeKind::Ok)).await;
    for spec in &specs {
        let id = spec.id.unwrap();
        let retry = request::RequestSpec { attempt: 2, ..spec.clone() };
        let tokens = client.call(cluster.daemons[1].callers, &retry).await.unwrap_tokens();
        assert_eq!(tokens, caller::expected_tokens(id, 0, 40));
        assert_eq!(cluster.start_count(id).await, 1);
    }
}

/// Returns whether the first chunk that the engine itself sends for a request names another request.
async fn is_misrouted(engine: &harness::Process, id: trefoildyke_types::id::RequestId) -> bool {
    let uri = format!("http://{}/v1/streams/cascadia/{id}?offset=0", engine.address(""));
    let request = hyper::Request::get(uri).body(bytes::Bytes::new()).unwrap();
    let response = http::Client::default().open(request, CALL_TIMEOUT).await.unwrap();
    let mut events = http::EventReader::new(response.into_body(), 1 << 20);
    while let Ok(Some(event)) = events.next(CALL_TIMEOUT).await {
        if let http::Event::Message { data, .. } = event {
            let chunk: request::Chunk = serde_json::from_str(&data).unwrap();
            return chunk.id != id;
        }
    }
    false
}
