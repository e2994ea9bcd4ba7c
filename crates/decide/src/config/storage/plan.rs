//! What to write for a change.

use std::sync;

use trefoildyke_types::{error, id};

use crate::config::{self, Snapshot, storage};

/// Holds what one change writes: the chunks first, then the root by compare-and-swap.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The snapshot that the change leads to.
    pub snapshot: sync::Arc<Snapshot>,
    /// The change as the history keeps it; `None` if only the layout is written anew.
    pub change: Option<storage::Change>,
    /// Chunks that the root names and that are not yet stored.
    pub chunks: Vec<storage::Chunk>,
    /// The root to store.
    pub root: storage::Root,
}

/// Plans the writes of a change on top of `root`, whose snapshot is `snapshot`.
///
/// # Errors
///
/// Fails as [`config::apply`] does; nothing is to be written then.
pub fn plan(
    root: &storage::Root,
    snapshot: &Snapshot,
    set: &config::ChangeSet,
    nonce: id::Nonce,
) -> Result<Plan, error::Error> {
    let next = config::apply(snapshot, set)?;
    let change = storage::Change { version: next.version(), nonce, set: set.clone() };
    let mut grown = root.clone();
    grown.version = next.version();
    remember(&mut grown.nonces, nonce);
    grown.tail.push(change.clone());
    if grown.to_text()?.len() > storage::ROOT_BYTES {
        let mut plan = fold(&grown, next, nonce)?;
        plan.change = Some(change);
        return Ok(plan);
    }
    let snapshot = sync::Arc::new(next);
    Ok(Plan { snapshot, change: Some(change), chunks: Vec::new(), root: grown })
}

/// Plans the writes that bring a snapshot back into a service that lost it.
///
/// `root` is what the service holds now; its version is below the snapshot's. The version stays
/// the snapshot's, since nothing changes for the daemons.
///
/// # Errors
///
/// Fails if a resource cannot be written as JSON, which a valid resource always can.
pub fn restore(
    root: &storage::Root,
    snapshot: &Snapshot,
    nonce: id::Nonce,
) -> Result<Plan, error::Error> {
    let lost = storage::Root { version: snapshot.version(), nonces: vec![nonce], ..root.clone() };
    fold(&lost, snapshot.clone(), nonce)
}

fn fold(root: &storage::Root, snapshot: Snapshot, nonce: id::Nonce) -> Result<Plan, error::Error> {
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

fn remember(nonces: &mut Vec<id::Nonce>, nonce: id::Nonce) {
    nonces.push(nonce);
    let surplus = nonces.len().saturating_sub(storage::NONCES);
    nonces.drain(..surplus);
}
