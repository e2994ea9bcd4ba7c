//! Old slots are deleted, and their identifiers are never taken for new ones.

use trefoildyke_daemon::intents;
use trefoildyke_decide::coordinate::RecordOutcome;

use crate::intents::nodes::{Belief, Nodes, key, patient, until};

#[tokio::test]
async fn an_identifier_whose_slot_was_deleted_is_not_created_again() {
    let settings =
        intents::Settings { slice_ms: 200, keep_ms: 2000, skew_ms: 100, buckets: 2, ..patient() };
    let nodes = Nodes::new(settings).await;
    let node = nodes.start(1, Belief::Lowest);
    let key = key();
    assert_eq!(node.record(&key, 1).await, RecordOutcome::Created);
    assert!(!nodes.kv.entries("intents/slots/").is_empty());
    until("the slot is deleted", || nodes.kv.entries("intents/slots/").is_empty()).await;
    // This node may still know the record, which is as good.
    assert_ne!(node.record(&key, 2).await, RecordOutcome::Created);
    // A node without any knowledge does not take it for new either.
    let other = nodes.start(2, Belief::Itself);
    assert_eq!(other.record(&key, 3).await, RecordOutcome::Unavailable);
    assert_eq!(nodes.kv.entries("intents/slots/"), []);
    assert!(node.handle.stats().deleted > 0);
}
