//! The writes that a change requires.

use std::sync;

use trefoildyke_types::{error, id};

use crate::config::{self, Snapshot, storage};

/// The writes of one change: first the chunks, then the root by compare-and-swap.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The snapshot that results from the change.
    pub snapshot: sync::Arc<Snapshot>,
    /// The change as the history keeps it; `None` if the stored configuration is only restored.
    pub change: Option<storage::Change>,
    /// The chunks that the root refers to and that are not stored yet.
    pub chunks: Vec<storage::Chunk>,
    /// The root to store.
    pub root: storage::Root,
}

/// Plans the writes of a change on top of `root`, whose snapshot is `snapshot`.
///
/// # Errors
///
/// Fails in the same cases as [`config::apply`]; nothing must be written in that case.
pub fn plan(
    root: &storage::Root,
    snapshot: &Snapshot,
    set: &config::ChangeSet,
    nonce: id::Nonce,
) -> Result<Plan, error::Error> {
    let next = config::apply(snapshot, set)?;
    let change = storage::Change { version: next.version(), nonce, set: set.clone() };
    let mut next_root = root.clone();
    next_root.version = next.version();
    add_nonce(&mut next_root.nonces, nonce);
    next_root.tail.push(change.clone());
    if next_root.to_text()?.len() > storage::ROOT_BYTES {
        let mut plan = compact(&next_root, next, nonce)?;
        plan.change = Some(change);
        return Ok(plan);
    }
    let snapshot = sync::Arc::new(next);
    Ok(Plan { snapshot, change: Some(change), chunks: Vec::new(), root: next_root })
}

/// Plans the writes that restore a snapshot in a key-value service that lost it.
///
/// `root` is the root that the service holds now; its version is lower than the snapshot's. The restored
/// root has the snapshot's version, because nothing changes for the daemons.
///
/// # Errors
///
/// Fails with `Protocol` if a resource cannot be written as JSON, which is always possible for a valid
/// resource.
pub fn restore(
    root: &storage::Root,
    snapshot: &Snapshot,
    nonce: id::Nonce,
) -> Result<Plan, error::Error> {
    let restored =
        storage::Root { version: snapshot.version(), nonces: vec![nonce], ..root.clone() };
    compact(&restored, snapshot.clone(), nonce)
}

/// Plans the compaction of all resources into new chunks.
fn compact(
    root: &storage::Root,
    snapshot: Snapshot,
    nonce: id::Nonce,
) -> Result<Plan, error::Error> {
    let chunks = storage::Chunk::divide(&snapshot, nonce)?;
    let root = storage::Root {
        version: root.version,
        folded: root.version,
        previous_fold: root.folded,
        chunks: chunks.iter().map(|chunk| chunk.key.clone()).collect(),
        nonces: root.nonces.clone(),
        tail: Vec::new(),
    };
    Ok(Plan { snapshot: sync::Arc::new(snapshot), change: None, chunks, root })
}

/// Adds a nonce and drops the oldest ones above the limit.
fn add_nonce(nonces: &mut Vec<id::Nonce>, nonce: id::Nonce) {
    nonces.push(nonce);
    let excess = nonces.len().saturating_sub(storage::NONCES);
    nonces.drain(..excess);
}
