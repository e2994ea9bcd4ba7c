//! Requests through a whole system.

use crate::harness::{self, caller};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_daemon_gives_whole_answers_in_order() {
    let cluster = harness::Cluster::start("whole_path", harness::Layout::default()).await;
    let client = harness::Caller::default();
    for daemon in &cluster.daemons {
        let chosen = caller::fresh();
        let spec =
            trefoildyke_types::request::RequestSpec { id: Some(chosen), ..caller::model(24) };
        let tokens = client.ask(daemon.callers, &spec).await.whole();
        assert_eq!(tokens, caller::expected(chosen, 0, 24));
        let issued = client.ask(daemon.callers, &caller::model(24)).await;
        let harness::Outcome::Whole(id, tokens) = issued else { panic!("{issued:?}") };
        assert_eq!(tokens, caller::expected(id, 0, 24));
        let letter = caller::fresh();
        let tokens = client.ask(daemon.callers, &caller::letter(letter)).await.whole();
        assert_eq!(tokens, ["issue-letter: 26 bytes"]);
        assert_eq!(cluster.starts_of(letter).await, 1);
    }
    let starts = cluster.starts().await;
    assert_eq!(starts.len(), 9);
    assert!(starts.values().all(|count| *count == 1), "{starts:?}");
}
