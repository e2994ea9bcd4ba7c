//! The metrics of the intent service are exported.

use testbed::switch;
use trefoildyke_daemon::{intents, metrics};
use trefoildyke_decide::coordinate::WriteOutcome;

use crate::intents::nodes::{Nodes, OwnerChoice, key, long_timeouts, until};

#[tokio::test]
async fn counts_and_the_service_state_are_exported() {
    let nodes = Nodes::new(intents::Settings { try_ms: 2_000, ..long_timeouts() }).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    let metrics = metrics::Handle::new().unwrap();
    node.handle.export(&metrics.meter());
    assert_eq!(node.record(&key(), 1).await, WriteOutcome::Created);
    let shows = |name: &str, value: &str| {
        let text = metrics.text().unwrap();
        let mut lines = text.lines().filter(|line| line.starts_with(name));
        lines.any(|line| line.ends_with(&format!(" {value}")))
    };
    assert!(shows("intent_records", "1"), "{}", metrics.text().unwrap());
    assert!(shows("intent_writes", "1"));
    assert!(shows("intent_service_up", "1"));
    nodes.kv.set_mode(switch::Mode::new(switch::ModeKind::Down));
    node.handle.look_up(&key()).await;
    until("the outage is shown", || shows("intent_service_up", "0")).await;
}
