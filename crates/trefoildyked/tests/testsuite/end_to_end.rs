//! Requests through a complete system.

use crate::harness::{self, caller};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_daemon_returns_complete_answers_in_order() {
    let cluster = harness::Cluster::start("end_to_end", harness::Layout::default()).await;
    let client = harness::Caller::default();
    for daemon in &cluster.daemons {
        let chosen = caller::new_id();
        let spec = trefoildyke_types::request::RequestSpec {
            id: Some(chosen),
            ..caller::model_request(24)
        };
        let tokens = client.call(daemon.callers, &spec).await.unwrap_tokens();
        assert_eq!(tokens, caller::expected_tokens(chosen, 0, 24));
        let issued = client.call(daemon.callers, &caller::model_request(24)).await;
        let harness::Outcome::Complete(id, tokens) = issued else { panic!("{issued:?}") };
        assert_eq!(tokens, caller::expected_tokens(id, 0, 24));
        let call_id = caller::new_id();
        let tokens =
            client.call(daemon.callers, &caller::service_request(call_id)).await.unwrap_tokens();
        assert_eq!(tokens, ["issue-letter: 26 bytes"]);
        assert_eq!(cluster.start_count(call_id).await, 1);
    }
    let starts = cluster.start_counts().await;
    assert_eq!(starts.len(), 9);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}
