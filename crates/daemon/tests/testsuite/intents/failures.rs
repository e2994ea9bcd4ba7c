//! Tests of lost answers at every step, outages, and unreachable owners.

use std::time;

use testbed::switch;
use trefoildyke_daemon::intents;
use trefoildyke_decide::coordinate::{ReadOutcome, ServiceState, WriteOutcome};

use crate::intents::nodes::{self, Nodes, OwnerChoice, Reachability, key, until};

/// Returns settings with a timeout that is short enough to wait for, but long enough not to expire on a
/// busy machine.
fn short_timeouts() -> intents::Settings {
    intents::Settings { try_ms: 2_000, ..Default::default() }
}

fn mode(kind: switch::ModeKind) -> switch::Mode {
    switch::Mode::new(kind)
}

#[tokio::test]
async fn a_lost_answer_at_any_step_creates_the_record_once() {
    // The parts are so small that they are started, continued and sealed within a few records.
    let settings =
        intents::Settings { buckets: 1, window_ms: 4, part_bytes: 2048, ..short_timeouts() };
    let nodes = Nodes::new(settings).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    assert_eq!(node.record(&key(), 0).await, WriteOutcome::Created);
    for nonce in 1..40 {
        nodes.kv.set_mode(mode(switch::ModeKind::LoseAnswers).calls(1));
        let key = key();
        assert_eq!(node.record(&key, nonce).await, WriteOutcome::Created, "record {nonce}");
        assert_eq!(node.handle.look_up(&key).await, ReadOutcome::Found(node.intent(nonce)));
    }
    assert_eq!(node.handle.stats().lost, 39);
    let parts = nodes.kv.entries("intents/slots/");
    let rows: usize = parts.iter().map(|part| part.value.matches("tacoma").count()).sum();
    assert_eq!(rows, 40);
    assert!(parts.len() > 2, "no part was sealed");
}

#[tokio::test]
async fn a_lost_answer_when_the_layout_is_written_is_read_back() {
    let nodes = Nodes::new(short_timeouts()).await;
    nodes.kv.set_mode(mode(switch::ModeKind::LoseAnswers).calls(1));
    let node = nodes.start(1, OwnerChoice::Lowest);
    until("the layout is agreed", || node.handle.service_state() == ServiceState::Up).await;
    assert_eq!(node.record(&key(), 1).await, WriteOutcome::Created);
}

#[tokio::test]
async fn all_answers_lost_is_unsure_until_the_service_answers_again() {
    // One slot holds all records, so the next record is written without a preceding read.
    let settings = intents::Settings { buckets: 1, slice_ms: 1 << 40, ..short_timeouts() };
    let nodes = Nodes::new(settings).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    let key = key();
    assert_eq!(node.record(&nodes::key(), 0).await, WriteOutcome::Created);
    nodes.kv.set_mode(mode(switch::ModeKind::Silent));
    assert_eq!(node.record(&key, 1).await, WriteOutcome::Unsure);
    nodes.kv.set_mode(mode(switch::ModeKind::Ok));
    assert_eq!(node.record(&key, 1).await, WriteOutcome::Created);
    assert_eq!(node.record(&key, 2).await, WriteOutcome::Exists(node.intent(1)));
}

#[tokio::test]
async fn an_outage_is_unavailable_and_has_a_start_time() {
    let nodes = Nodes::new(short_timeouts()).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    assert_eq!(node.record(&key(), 0).await, WriteOutcome::Created);
    let before_ms = unix_ms();
    nodes.kv.set_mode(mode(switch::ModeKind::Down));
    let key = key();
    assert_eq!(node.record(&key, 1).await, WriteOutcome::Unavailable);
    assert_eq!(node.handle.look_up(&key).await, ReadOutcome::Unavailable);
    let state = node.handle.service_state();
    let ServiceState::Down { since_ms } = state else { panic!("{state:?}") };
    // The start is computed from two clocks, each truncated to milliseconds.
    assert!(since_ms + 2 >= before_ms && since_ms <= unix_ms(), "{before_ms} {since_ms}");
    nodes.kv.set_mode(mode(switch::ModeKind::Ok));
    until("the service is up again", || node.handle.service_state() == ServiceState::Up).await;
    assert_eq!(node.record(&key, 2).await, WriteOutcome::Created);
}

#[tokio::test]
async fn a_node_that_starts_in_an_outage_is_down_since_its_start() {
    let nodes = Nodes::new(short_timeouts()).await;
    nodes.kv.set_mode(mode(switch::ModeKind::Down));
    let before_ms = unix_ms();
    let node = nodes.start(1, OwnerChoice::Lowest);
    let state = node.handle.service_state();
    let ServiceState::Down { since_ms } = state else { panic!("{state:?}") };
    assert!(since_ms + 2 >= before_ms);
    assert_eq!(node.record(&key(), 1).await, WriteOutcome::Unavailable);
    nodes.kv.set_mode(mode(switch::ModeKind::Ok));
    until("the service is up", || node.handle.service_state() == ServiceState::Up).await;
    assert_eq!(node.record(&key(), 2).await, WriteOutcome::Created);
}

#[tokio::test]
async fn a_node_that_is_cut_off_alone_writes_and_reads_through_a_peer() {
    let nodes = Nodes::new(short_timeouts()).await;
    let cut_off = nodes.start(1, OwnerChoice::Lowest);
    let peer = nodes.start(2, OwnerChoice::Lowest);
    assert_eq!(peer.record(&key(), 0).await, WriteOutcome::Created);
    nodes.kv.set_mode(mode(switch::ModeKind::Down).only(nodes::address(1)));
    let key = key();
    assert_eq!(cut_off.record(&key, 1).await, WriteOutcome::Created);
    assert_eq!(cut_off.handle.look_up(&key).await, ReadOutcome::Found(cut_off.intent(1)));
    // The node's next direct call may fail at any moment and start the outage again.
    until("the peer counts", || cut_off.handle.service_state() == ServiceState::Up).await;
    assert_eq!(peer.record(&key, 2).await, WriteOutcome::Exists(cut_off.intent(1)));
    // The owner is cut off, so the peer commits the record itself.
    assert_eq!(peer.record(&nodes::key(), 3).await, WriteOutcome::Created);
}

#[tokio::test]
async fn a_node_that_starts_cut_off_writes_through_a_peer() {
    let nodes = Nodes::new(short_timeouts()).await;
    nodes.kv.set_mode(mode(switch::ModeKind::Down).only(nodes::address(2)));
    let _peer = nodes.start(1, OwnerChoice::Lowest);
    let cut_off = nodes.start(2, OwnerChoice::Lowest);
    let key = key();
    assert_eq!(cut_off.record(&key, 1).await, WriteOutcome::Created);
    assert_eq!(cut_off.handle.look_up(&key).await, ReadOutcome::Found(cut_off.intent(1)));
}

#[tokio::test]
async fn a_node_commits_itself_if_the_owner_is_unreachable() {
    let nodes = Nodes::new(short_timeouts()).await;
    let owner = nodes.start(1, OwnerChoice::Lowest);
    let node = nodes.start(2, OwnerChoice::Lowest);
    assert_eq!(node.record(&key(), 0).await, WriteOutcome::Created);
    assert_eq!(node.handle.stats().rows, 0, "the owner has committed");
    for (nonce, reach) in [(1, Reachability::Closed), (2, Reachability::AnswersLost)] {
        nodes.set_reach(&owner, reach);
        let key = key();
        assert_eq!(node.record(&key, nonce).await, WriteOutcome::Created, "{reach:?}");
        let taken = WriteOutcome::Exists(node.intent(nonce));
        assert_eq!(owner.record(&key, 9).await, taken, "{reach:?}");
    }
    assert_eq!(node.handle.stats().rows, 2);
}

#[tokio::test]
async fn a_node_records_after_the_owner_stops() {
    let nodes = Nodes::new(short_timeouts()).await;
    let owner = nodes.start(1, OwnerChoice::Lowest);
    let node = nodes.start(2, OwnerChoice::Lowest);
    assert_eq!(node.record(&key(), 0).await, WriteOutcome::Created);
    owner.stop().await;
    assert_eq!(node.record(&key(), 1).await, WriteOutcome::Created);
    node.stop().await;
    nodes.kv.stop().await;
}

fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}
