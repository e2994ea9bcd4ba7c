//! Old slots are deleted, and the identifiers in them are never accepted as new.

use trefoildyke_daemon::intents;
use trefoildyke_decide::coordinate::WriteOutcome;

use crate::intents::nodes::{Nodes, OwnerChoice, key, long_timeouts, until};

#[tokio::test]
async fn an_identifier_whose_slot_was_deleted_is_not_created_again() {
    let settings = intents::Settings {
        slice_ms: 200,
        keep_ms: 2000,
        skew_ms: 100,
        buckets: 2,
        ..long_timeouts()
    };
    let nodes = Nodes::new(settings).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    let key = key();
    assert_eq!(node.record(&key, 1).await, WriteOutcome::Created);
    assert!(!nodes.kv.entries("intents/slots/").is_empty());
    until("the slot is deleted", || nodes.kv.entries("intents/slots/").is_empty()).await;
    // This node may still have the record in memory; then it returns the record.
    assert_ne!(node.record(&key, 2).await, WriteOutcome::Created);
    // A node that has never seen the record does not accept the identifier as new either.
    let other = nodes.start(2, OwnerChoice::Itself);
    assert_eq!(other.record(&key, 3).await, WriteOutcome::Unavailable);
    assert_eq!(nodes.kv.entries("intents/slots/"), []);
    assert!(node.handle.stats().deleted > 0);
}
