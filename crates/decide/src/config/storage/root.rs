//! The root, whose versions define the order of all changes.

use trefoildyke_types::{error, id};

use crate::config::{Snapshot, replay, storage};

/// The value of [`storage::ROOT_KEY`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// The version of the configuration; every accepted change increases it by one.
    pub version: u64,
    /// The version as of which the chunks contain all resources; at most `version`.
    pub folded: u64,
    /// The version of the compaction before `folded`; chunks of older versions are deleted.
    pub previous_fold: u64,
    /// The keys of the chunks, which together contain all resources as of `folded`.
    pub chunks: Vec<String>,
    /// The nonces of the latest changes; the last one created `version`.
    pub nonces: Vec<id::Nonce>,
    /// The changes after `folded`, without a gap.
    pub tail: Vec<storage::Change>,
}

/// The outcome of a write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect.
    Applied,
    /// Another write was applied instead, so this write can never take effect.
    Superseded,
    /// The root has not changed; the write may still take effect, so it must be sent again.
    Pending,
    /// The outcome is unknown, because the root no longer holds the nonce of that version.
    Unknown,
}

impl Root {
    /// Parses a root.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the text is not a root or breaks its invariants.
    pub fn parse(text: &str) -> Result<Self, error::Error> {
        let root: Self =
            serde_json::from_str(text).map_err(|error| invalid_root(&error.to_string()))?;
        let expected = root.folded + 1..=root.version;
        if !root.tail.iter().map(|change| change.version).eq(expected) {
            return Err(invalid_root("the tail has a gap"));
        }
        Ok(root)
    }

    /// Returns the root as JSON, in the form in which it is stored.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if a resource cannot be written as JSON, which is always possible for a valid
    /// resource.
    pub fn to_text(&self) -> Result<String, error::Error> {
        serde_json::to_string(self).map_err(|error| invalid_root(&error.to_string()))
    }

    /// Returns the outcome of a write with `nonce` that would have created version `base + 1`.
    ///
    /// A write compares the root's revision, so only one write can follow each version.
    pub fn outcome(&self, base: u64, nonce: id::Nonce) -> Outcome {
        if self.version <= base {
            return Outcome::Pending;
        }
        let distance = usize::try_from(self.version - base).unwrap_or(usize::MAX);
        match self.nonces.len().checked_sub(distance).map(|index| self.nonces[index]) {
            Some(stored) if stored == nonce => Outcome::Applied,
            Some(_) => Outcome::Superseded,
            None => Outcome::Unknown,
        }
    }

    /// Returns whether the changes in the tail are sufficient to go from `version` to the root's version.
    pub const fn covers(&self, version: u64) -> bool {
        self.folded <= version && version <= self.version
    }

    /// Returns the root's snapshot, based on an earlier snapshot for which [`Self::covers`] holds.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the tail does not apply to the snapshot.
    pub fn apply_tail(&self, snapshot: &Snapshot) -> Result<Snapshot, error::Error> {
        let missing = self.tail.iter().filter(|change| change.version > snapshot.version());
        replay(snapshot, missing)
    }

    /// Returns the root's snapshot, based on the values of its chunks in order.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if a value is not a chunk or the tail does not apply.
    pub fn rebuild(&self, values: &[String]) -> Result<Snapshot, error::Error> {
        let mut resources = Vec::new();
        for value in values {
            resources.extend(storage::Chunk::resources(value)?);
        }
        self.apply_tail(&Snapshot::from_resources(self.folded, resources))
    }
}

fn invalid_root(message: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, format!("not a configuration root: {message}"))
        .about(&storage::ROOT_KEY)
        .remedy("restore the key from a backup, or run daemons of one version")
}
