//! The recent history of the configuration, from which a daemon updates its peers.

use std::{collections, ops, sync};

use trefoildyke_types::{error, resource};

use crate::config::{Snapshot, replay, storage};

/// The maximum total size in bytes of the changes that a daemon keeps for its peers.
const KEPT_BYTES: usize = 512 * 1024;

/// The size limit of a page in bytes, which a page exceeds by at most one resource.
const PAGE_BYTES: usize = 512 * 1024;

/// The current snapshot and the changes that led to it.
///
/// The version only increases: nothing older than the current snapshot is ever adopted.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The current snapshot.
    snapshot: sync::Arc<Snapshot>,
    /// The latest changes with their sizes in bytes, without a gap; the last one created the snapshot's
    /// version.
    changes: collections::VecDeque<(storage::Change, usize)>,
    /// The sum of the sizes of `changes` in bytes; at most `KEPT_BYTES`.
    bytes: usize,
}

/// The answer to a peer whose configuration may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Answer {
    /// All changes after the version that the peer has.
    Changes(Vec<storage::Change>),
    /// One page of the complete configuration, sorted by key, if the changes that the peer lacks are no
    /// longer all kept or the peer already reads pages.
    Page {
        /// The version of the configuration; pages of different versions must not be mixed.
        version: u64,
        /// The page's resources.
        resources: Vec<resource::Resource>,
        /// Whether more pages follow.
        more: bool,
    },
}

impl History {
    /// Returns the current snapshot.
    pub const fn snapshot(&self) -> &sync::Arc<Snapshot> {
        &self.snapshot
    }

    /// Applies the changes after the current snapshot; skips those that it already contains.
    ///
    /// Returns whether the version increased.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the changes have a gap or do not apply; nothing is adopted in that case.
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

    /// Adopts a complete snapshot if it is newer than the current one.
    ///
    /// Returns whether the version increased.
    pub fn replace(&mut self, snapshot: sync::Arc<Snapshot>) -> bool {
        if snapshot.version() <= self.snapshot.version() {
            return false;
        }
        self.snapshot = snapshot;
        self.changes.clear();
        self.bytes = 0;
        true
    }

    /// Returns the answer to a peer that has version `from` and has read pages up to the key `after`.
    pub fn answer(&self, from: u64, after: Option<&resource::ResourceKey>) -> Answer {
        let version = self.snapshot.version();
        if after.is_none() && from >= version {
            return Answer::Changes(Vec::new());
        }
        let is_covered = self.changes.front().is_some_and(|(first, _)| first.version <= from + 1);
        if after.is_none() && is_covered {
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

/// Returns the size of a value as JSON in bytes; a value without a JSON form counts as too large to keep.
fn size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(KEPT_BYTES + 1, |text| text.len())
}
