//! A record is created exactly once, whichever nodes write it concurrently.

use std::time;

use futures::future;
use trefoildyke_daemon::intents;
use trefoildyke_decide::coordinate::{ReadOutcome, ServiceState, WriteOutcome};
use trefoildyke_types::{id, request};

use crate::intents::nodes::{Node, Nodes, OwnerChoice, key, long_timeouts};

/// Makes all nodes record all keys concurrently; returns how often each key was created.
async fn race(nodes: &[Node], keys: &[id::RequestKey]) -> Vec<usize> {
    let races = keys.iter().enumerate().map(|(number, key)| async move {
        let attempts = nodes.iter().map(|node| {
            let nonce = node.own.as_u64() << 32 | number as u64;
            async move { (node.intent(nonce), node.record(key, nonce).await) }
        });
        let attempts = future::join_all(attempts).await;
        let stored = nodes[0].handle.look_up(key).await;
        let ReadOutcome::Found(stored) = stored else { panic!("{stored:?}") };
        for (record, outcome) in &attempts {
            match outcome {
                WriteOutcome::Created => assert_eq!(*record, stored),
                WriteOutcome::Exists(record) => assert_eq!(*record, stored),
                _ => panic!("{outcome:?} without a fault"),
            }
        }
        attempts.iter().filter(|(_, outcome)| *outcome == WriteOutcome::Created).count()
    });
    future::join_all(races).await
}

#[tokio::test]
async fn many_nodes_create_each_record_once_through_the_owner() {
    let nodes = Nodes::new(long_timeouts()).await;
    let running: Vec<_> = (1..=3).map(|n| nodes.start(n, OwnerChoice::Lowest)).collect();
    let keys: Vec<_> = (0..200).map(|_| key()).collect();
    let created = race(&running, &keys).await;
    assert!(created.iter().all(|count| *count == 1), "{created:?}");
    let counts: Vec<_> = running.iter().map(|node| node.handle.stats()).collect();
    assert_eq!((counts[1].rows, counts[2].rows), (0, 0), "only the owner commits");
    assert_eq!(counts[0].conflicts, 0, "one owner has nobody to conflict with");
    for node in running {
        node.stop().await;
    }
    nodes.kv.stop().await;
}

#[tokio::test]
async fn two_owners_at_once_conflict_and_merge() {
    let settings = intents::Settings { buckets: 1, ..long_timeouts() };
    let nodes = Nodes::new(settings).await;
    let running: Vec<_> = (1..=2).map(|n| nodes.start(n, OwnerChoice::Itself)).collect();
    let keys: Vec<_> = (0..200).map(|_| key()).collect();
    let created = race(&running, &keys).await;
    assert!(created.iter().all(|count| *count == 1), "{created:?}");
    let conflicts: u64 = running.iter().map(|node| node.handle.stats().conflicts).sum();
    assert!(conflicts > 0, "the owners never met");
}

#[tokio::test]
async fn one_commit_writes_all_records_of_a_window() {
    let settings = intents::Settings { buckets: 1, window_ms: 100, ..long_timeouts() };
    let nodes = Nodes::new(settings).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    let started = time::Instant::now();
    let records = (0..300).map(|nonce| {
        let node = &node;
        async move { node.record(&key(), nonce).await }
    });
    let outcomes = future::join_all(records).await;
    assert!(outcomes.iter().all(|outcome| *outcome == WriteOutcome::Created));
    let counts = node.handle.stats();
    let windows = started.elapsed().as_millis() / 100;
    assert!(u128::from(counts.batches) <= windows + 1, "{counts:?} in {windows} windows");
    assert_eq!(counts.rows, 300);
}

#[tokio::test]
async fn full_parts_roll_over_and_every_record_is_found() {
    let settings = intents::Settings { buckets: 1, part_bytes: 2048, ..long_timeouts() };
    let nodes = Nodes::new(settings).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    let keys: Vec<_> = (0..400).map(|_| key()).collect();
    let records = keys.iter().enumerate().map(|(nonce, key)| node.record(key, nonce as u64));
    for outcome in future::join_all(records).await {
        assert_eq!(outcome, WriteOutcome::Created);
    }
    let parts = nodes.kv.entries("intents/slots/");
    assert!(parts.len() >= 400 * 100 / 2048, "{} parts", parts.len());
    assert!(parts.iter().all(|part| part.value.len() <= 2048));
    // Another node starts with no records in memory.
    let other = nodes.start(2, OwnerChoice::Itself);
    for (nonce, key) in keys.iter().enumerate() {
        let stored = node.intent(nonce as u64);
        assert_eq!(other.handle.look_up(key).await, ReadOutcome::Found(stored.clone()));
    }
    let taken = WriteOutcome::Exists(node.intent(0));
    assert_eq!(other.record(&keys[0], 9_999).await, taken);
}

#[tokio::test]
async fn a_look_up_finds_what_another_owner_wrote_meanwhile() {
    // One slot holds all records, so both nodes have an earlier state of it in memory.
    let settings = intents::Settings { buckets: 1, slice_ms: 1 << 40, ..long_timeouts() };
    let nodes = Nodes::new(settings).await;
    let first = nodes.start(1, OwnerChoice::Itself);
    let second = nodes.start(2, OwnerChoice::Itself);
    for nonce in 1..20 {
        let key = key();
        assert_eq!(second.handle.look_up(&key).await, ReadOutcome::Absent);
        assert_eq!(first.record(&key, nonce).await, WriteOutcome::Created);
        assert_eq!(second.handle.look_up(&key).await, ReadOutcome::Found(first.intent(nonce)));
    }
}

#[tokio::test]
async fn many_look_ups_at_once_take_few_reads() {
    let settings = intents::Settings {
        buckets: 1,
        slice_ms: 1 << 40,
        window_ms: 100,
        part_bytes: 2048,
        ..long_timeouts()
    };
    let nodes = Nodes::new(settings).await;
    let owner = nodes.start(1, OwnerChoice::Lowest);
    let other = nodes.start(2, OwnerChoice::Lowest);
    let keys: Vec<_> = (0..100).map(|_| key()).collect();
    let records = keys.iter().enumerate().map(|(nonce, key)| owner.record(key, nonce as u64));
    future::join_all(records).await;
    let reads = nodes.kv.stats().reads;
    let started = time::Instant::now();
    let known = future::join_all(keys.iter().map(|key| other.handle.look_up(key))).await;
    assert!(known.iter().all(|found| matches!(found, ReadOutcome::Found(_))));
    assert_eq!(nodes.kv.stats().reads, reads, "the owner knows them all");
    let absent: Vec<_> = (0..100).map(|_| key()).collect();
    let unknown = future::join_all(absent.iter().map(|key| other.handle.look_up(key))).await;
    assert!(unknown.iter().all(|found| *found == ReadOutcome::Absent));
    let windows = started.elapsed().as_millis() / 100;
    let reads = u128::from(nodes.kv.stats().reads - reads);
    assert!(reads <= windows + 1, "{reads} reads in {windows} windows");
}

#[tokio::test]
async fn a_closed_request_cannot_be_recorded_for_dispatch() {
    let nodes = Nodes::new(long_timeouts()).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    let key = key();
    let closed = request::Record::Closed { nonce: id::Nonce(5) };
    assert_eq!(node.handle.record(&key, &closed).await, WriteOutcome::Created);
    assert_eq!(node.record(&key, 6).await, WriteOutcome::Exists(closed));
}

#[tokio::test]
async fn recording_the_same_record_again_succeeds() {
    let nodes = Nodes::new(long_timeouts()).await;
    let node = nodes.start(1, OwnerChoice::Lowest);
    let key = key();
    assert_eq!(node.handle.look_up(&key).await, ReadOutcome::Absent);
    assert_eq!(node.record(&key, 5).await, WriteOutcome::Created);
    assert_eq!(node.record(&key, 5).await, WriteOutcome::Created);
    assert_eq!(node.record(&key, 6).await, WriteOutcome::Exists(node.intent(5)));
    assert_eq!(node.handle.service_state(), ServiceState::Up);
}

#[tokio::test]
async fn the_stored_layout_wins() {
    let nodes = Nodes::new(long_timeouts()).await;
    let first = nodes.start(1, OwnerChoice::Itself);
    let key = key();
    assert_eq!(first.record(&key, 1).await, WriteOutcome::Created);
    let other = intents::Settings { buckets: 3, slice_ms: 1000, keep_ms: 5000, ..nodes.settings };
    let second = nodes.start_with(2, OwnerChoice::Itself, other);
    assert_eq!(second.record(&key, 2).await, WriteOutcome::Exists(first.intent(1)));
    assert_eq!(second.handle.layout(), first.handle.layout());
}
