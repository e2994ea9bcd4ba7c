//! What a daemon keeps to bring its peers up to date.

use std::{collections, ops, sync};

use trefoildyke_types::{error, resource};

use crate::config::{Snapshot, replay, storage};

/// The size in bytes of the changes that a daemon keeps for its peers.
const KEPT_BYTES: usize = 512 * 1024;

/// The size in bytes that a page does not exceed by more than one resource.
const PAGE_BYTES: usize = 512 * 1024;

/// Holds the snapshot in force and the changes that led to it.
///
/// The version only rises: nothing older than the snapshot is ever adopted.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The snapshot in force.
    snapshot: sync::Arc<Snapshot>,
    /// The last changes with their sizes; without a gap, the last made the snapshot's version.
    changes: collections::VecDeque<(storage::Change, usize)>,
    /// The sum of the sizes; at most `KEPT_BYTES`.
    bytes: usize,
}

/// Answers a peer that lags.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// Every change after the version that the peer has.
    Changes(Vec<storage::Change>),
    /// One page of the whole, sorted, if the peer lags too far.
    Page {
        /// The version of the whole; pages of two versions must not be mixed.
        version: u64,
        /// The page's resources.
        resources: Vec<resource::Resource>,
        /// Whether more pages follow.
        more: bool,
    },
}

impl History {
    /// Returns the snapshot in force.
    pub const fn snapshot(&self) -> &sync::Arc<Snapshot> {
        &self.snapshot
    }

    /// Adopts the changes that follow the snapshot, skipping those it contains.
    ///
    /// Returns whether the version rose.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the changes have a gap or do not fit; nothing is adopted then.
    pub fn extend(&mut self, changes: Vec<storage::Change>) -> Result<bool, error::Error> {
        let version = self.snapshot.version();
        let new: Vec<_> = changes.into_iter().filter(|c| c.version > version).collect();
        if new.is_empty() {
            return Ok(false);
        }
        self.snapshot = sync::Arc::new(replay(&self.snapshot, new.iter())?);
        new.into_iter().for_each(|change| self.keep(change));
        Ok(true)
    }

    fn keep(&mut self, change: storage::Change) {
        let bytes = size(&change);
        self.bytes += bytes;
        self.changes.push_back((change, bytes));
        while self.bytes > KEPT_BYTES {
            self.bytes -= self.changes.pop_front().map_or(self.bytes, |(_, bytes)| bytes);
        }
    }

    /// Adopts a whole snapshot, if it is newer than the one in force.
    ///
    /// Returns whether the version rose.
    pub fn replace(&mut self, snapshot: sync::Arc<Snapshot>) -> bool {
        if snapshot.version() <= self.snapshot.version() {
            return false;
        }
        self.snapshot = snapshot;
        self.changes.clear();
        self.bytes = 0;
        true
    }

    /// Answers a peer that has version `from` and has read pages up to `after`.
    pub fn answer(&self, from: u64, after: Option<&resource::ResourceKey>) -> Answer {
        let version = self.snapshot.version();
        if after.is_none() && from >= version {
            return Answer::Changes(Vec::new());
        }
        let reaches = self.changes.front().is_some_and(|(first, _)| first.version <= from + 1);
        if after.is_none() && reaches {
            let later = self.changes.iter().map(|(change, _)| change);
            let later = later.filter(|change| change.version > from);
            return Answer::Changes(later.cloned().collect());
        }
        self.page(after)
    }

    fn page(&self, after: Option<&resource::ResourceKey>) -> Answer {
        let lower = after.map_or(ops::Bound::Unbounded, ops::Bound::Excluded);
        let mut rest = self.snapshot.resources().range((lower, ops::Bound::Unbounded));
        let mut resources = Vec::new();
        let mut bytes = 0;
        while bytes < PAGE_BYTES {
            let Some((_, resource)) = rest.next() else { break };
            bytes += size(&**resource);
            resources.push((**resource).clone());
        }
        Answer::Page { version: self.snapshot.version(), resources, more: rest.next().is_some() }
    }
}

/// Returns the size in bytes as JSON; what has no JSON form counts as too large to keep.
fn size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(KEPT_BYTES + 1, |text| text.len())
}
