//! Tests of the layout in the key-value service.

use std::sync;

use proptest::prelude::*;
use trefoildyke_decide::config::{self, storage};
use trefoildyke_types::{error, id, resource};

use crate::config::{puts, resources};

/// The number of accounts at the target size.
const ACCOUNTS: usize = 8_800;

fn tier(rank: u8) -> config::ChangeSet {
    puts(&format!("{{kind: Tier, name: t{rank}, spec: {{rank: {rank}, deadline_ms: 5}}}}"))
}

fn plan(root: &storage::Root, base: &config::Snapshot, rank: u8, nonce: u64) -> storage::Plan {
    storage::plan(root, base, &tier(rank), id::Nonce(nonce)).unwrap()
}

fn accounts(count: usize) -> config::ChangeSet {
    let mut set = tier(0);
    set.puts.extend((0..count).map(|index| resource::Resource {
        name: format!("account-{index}"),
        spec: resource::Spec::ClientAccount(resource::ClientAccountSpec {
            key_hashes: vec![format!("{index:064x}")],
            classes: [("question".to_owned(), "t0".into())].into(),
            weight: 1,
            max_waiting: None,
        }),
        generation: 0,
        resource_version: 0,
        status: None,
    }));
    set
}

fn values(plan: &storage::Plan) -> Vec<String> {
    plan.chunks.iter().map(|chunk| chunk.value.clone()).collect()
}

#[test]
fn a_change_appends_to_the_tail_and_reads_back() {
    let first = plan(&storage::Root::default(), &config::Snapshot::default(), 0, 11);
    let second = plan(&first.root, &first.snapshot, 1, 12);
    let root = storage::Root::parse(&second.root.to_text().unwrap()).unwrap();
    let read = root.rebuild(&[]).unwrap();
    assert_eq!((root.version, read.version(), read.resources().len()), (2, 2, 2));
    assert!(second.chunks.is_empty());
    let applied = root.apply_tail(&first.snapshot).unwrap();
    assert_eq!(applied.resources(), second.snapshot.resources());
}

#[test]
fn the_nonce_gives_the_outcome_of_a_write_after_a_lost_answer() {
    let first = plan(&storage::Root::default(), &config::Snapshot::default(), 0, 11);
    let second = plan(&first.root, &first.snapshot, 1, 12);
    let outcome = |base, nonce| second.root.outcome(base, id::Nonce(nonce));
    assert_eq!(outcome(0, 11), storage::Outcome::Applied);
    assert_eq!(outcome(0, 99), storage::Outcome::Superseded);
    assert_eq!(outcome(1, 12), storage::Outcome::Applied);
    assert_eq!(outcome(2, 13), storage::Outcome::Pending);
    let truncated = storage::Root { nonces: vec![id::Nonce(12)], ..second.root.clone() };
    assert_eq!(truncated.outcome(0, id::Nonce(11)), storage::Outcome::Unknown);
}

#[test]
fn all_accounts_of_the_target_size_fit() {
    let root = storage::Root::default();
    let set = accounts(ACCOUNTS);
    let plan = storage::plan(&root, &config::Snapshot::default(), &set, id::Nonce(1)).unwrap();
    assert!(plan.root.to_text().unwrap().len() < storage::ROOT_BYTES);
    assert!(plan.chunks.iter().all(|chunk| chunk.value.len() < 2 * storage::CHUNK_BYTES));
    let read = plan.root.rebuild(&values(&plan)).unwrap();
    assert_eq!(read.resources(), plan.snapshot.resources());
    let hash: config::KeyHash = format!("{:064x}", ACCOUNTS - 1).parse().unwrap();
    assert_eq!(read.account_by_key(&hash).unwrap().as_str(), "account-8799");
}

#[test]
fn the_change_that_makes_the_tail_too_long_compacts_it() {
    let mut root = storage::Root::default();
    let mut snapshot = sync::Arc::new(config::Snapshot::default());
    let mut previous = Vec::new();
    let mut compactions = Vec::new();
    for step in 0..160_u64 {
        let mut set = config::ChangeSet::default();
        set.puts.extend((0..20).flat_map(|rank| tier(rank).puts));
        set.puts.iter_mut().for_each(|tier| tier.resource_version = snapshot.version());
        let plan = storage::plan(&root, &snapshot, &set, id::Nonce(step)).unwrap();
        assert!(plan.root.to_text().unwrap().len() <= storage::ROOT_BYTES);
        if !plan.chunks.is_empty() {
            compactions.push(plan.root.version);
            previous = values(&plan);
        }
        (root, snapshot) = (plan.root, plan.snapshot);
    }
    assert!(compactions.len() >= 2, "compactions at {compactions:?}");
    assert_eq!(
        (root.folded, root.previous_fold),
        (compactions[compactions.len() - 1], compactions[compactions.len() - 2])
    );
    assert_eq!(root.rebuild(&previous).unwrap().resources(), snapshot.resources());
    let key = &root.chunks[0];
    assert!(!storage::is_obsolete_chunk(key, root.previous_fold));
    assert!(storage::is_obsolete_chunk(key, root.folded + 1));
    assert!(!storage::is_obsolete_chunk("config/root", u64::MAX));
}

#[test]
fn a_lost_configuration_is_restored_at_the_same_version() {
    let first = plan(&storage::Root::default(), &config::Snapshot::default(), 0, 11);
    let second = plan(&first.root, &first.snapshot, 1, 12);
    let restored = storage::restore(&first.root, &second.snapshot, id::Nonce(13)).unwrap();
    assert_eq!(restored.root.version, 2);
    let read = restored.root.rebuild(&values(&restored)).unwrap();
    assert_eq!(read.resources(), second.snapshot.resources());
}

#[test]
fn the_version_of_a_history_never_decreases() {
    let mut history = storage::History::default();
    let first = plan(&storage::Root::default(), &config::Snapshot::default(), 0, 11);
    let second = plan(&first.root, &first.snapshot, 1, 12);
    assert!(history.extend(second.root.tail).unwrap());
    assert!(!history.replace(first.snapshot.clone()));
    assert!(!history.extend(first.root.tail).unwrap());
    assert_eq!(history.snapshot().version(), 2);
    let gap = storage::Change { version: 4, nonce: id::Nonce(14), set: tier(9) };
    assert_eq!(history.extend(vec![gap]).unwrap_err().kind, error::ErrorKind::Protocol);
    assert_eq!(history.snapshot().version(), 2);
}

#[test]
fn a_lagging_peer_gets_changes_or_pages() {
    let mut history = storage::History::default();
    let plan = plan(&storage::Root::default(), &config::Snapshot::default(), 0, 11);
    history.extend(plan.root.tail.clone()).unwrap();
    assert_eq!(history.answer(0, None), storage::Answer::Changes(plan.root.tail));
    assert_eq!(history.answer(1, None), storage::Answer::Changes(Vec::new()));
    let snapshot = config::apply(&config::Snapshot::default(), &accounts(ACCOUNTS)).unwrap();
    let snapshot = config::Snapshot::new(7, snapshot.resources().clone());
    history.replace(sync::Arc::new(snapshot));
    let (mut read, mut after, mut pages) = (Vec::new(), None, 0);
    loop {
        let storage::Answer::Page { version, resources, more } = history.answer(1, after.as_ref())
        else {
            panic!("expected a page");
        };
        assert_eq!(version, 7);
        after = resources.last().map(resource::Resource::key);
        read.extend(resources);
        pages += 1;
        if !more {
            break;
        }
    }
    assert!(pages > 1);
    assert_eq!(
        config::Snapshot::from_resources(7, read).resources(),
        history.snapshot().resources()
    );
}

#[test]
fn an_invalid_root_is_refused() {
    let change = storage::Change { version: 2, nonce: id::Nonce(1), set: tier(0) };
    let gap = storage::Root { version: 2, tail: vec![change], ..storage::Root::default() };
    for text in ["", "{}", &gap.to_text().unwrap()] {
        let error = storage::Root::parse(text).unwrap_err();
        assert_eq!(error.kind, error::ErrorKind::Protocol, "{text}");
    }
}

proptest! {
    #[test]
    fn one_of_several_racing_writers_creates_each_version(order in prop::collection::vec(0..3_usize, 1..60)) {
        let mut store = (0_u64, storage::Root::default());
        let mut seen = [store.clone(), store.clone(), store.clone()];
        let mut wins = Vec::new();
        for (step, writer) in order.into_iter().enumerate() {
            let (revision, root) = seen[writer].clone();
            let snapshot = root.rebuild(&[]).unwrap();
            let name = format!("{{kind: Tier, name: t{step}, spec: {{rank: {step}, deadline_ms: 5}}}}");
            let set = config::ChangeSet { puts: resources(&name), deletions: Vec::new() };
            let nonce = id::Nonce(step as u64);
            let plan = storage::plan(&root, &snapshot, &set, nonce).unwrap();
            if revision == store.0 {
                store = (revision + 1, plan.root);
                wins.push(nonce);
                prop_assert_eq!(store.1.outcome(root.version, nonce), storage::Outcome::Applied);
            } else {
                prop_assert_eq!(store.1.outcome(root.version, nonce), storage::Outcome::Superseded);
            }
            seen[writer] = store.clone();
        }
        prop_assert_eq!(&store.1.nonces, &wins);
        prop_assert_eq!(store.1.rebuild(&[]).unwrap().resources().len(), wins.len());
    }
}
