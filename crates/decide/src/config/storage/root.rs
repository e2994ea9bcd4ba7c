//! The value that orders all changes.

use trefoildyke_types::{error, id};

use crate::config::{Snapshot, replay, storage};

/// Holds the value of [`storage::ROOT_KEY`].
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// The version of the whole; every accepted change raises it by one.
    pub version: u64,
    /// The version that the chunks hold; at most `version`.
    pub folded: u64,
    /// The fold before `folded`; chunks older than it are deleted.
    pub previous_fold: u64,
    /// The chunks' keys; together they hold every resource as of `folded`.
    pub chunks: Vec<String>,
    /// The nonces of the last changes; the last one made `version`.
    pub nonces: Vec<id::Nonce>,
    /// The changes after `folded`, without a gap.
    pub tail: Vec<storage::Change>,
}

/// Says what became of a write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect.
    Applied,
    /// Another write took its place, and it can never take effect.
    Lost,
    /// The root is as it was; the write may still take effect, so it must be sent again.
    Open,
    /// The change lies further back than the root remembers.
    Forgotten,
}

impl Root {
    /// Reads a root.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the text is not a root or breaks its invariants.
    pub fn parse(text: &str) -> Result<Self, error::Error> {
        let root: Self = serde_json::from_str(text).map_err(|error| broken(&error.to_string()))?;
        let expected = root.folded + 1..=root.version;
        if !root.tail.iter().map(|change| change.version).eq(expected) {
            return Err(broken("the tail has a gap"));
        }
        Ok(root)
    }

    /// Returns the text that is stored.
    ///
    /// # Errors
    ///
    /// Fails if a resource cannot be written as JSON, which a valid resource always can.
    pub fn to_text(&self) -> Result<String, error::Error> {
        serde_json::to_string(self).map_err(|error| broken(&error.to_string()))
    }

    /// Returns what became of a write that would have made version `base + 1` under `nonce`.
    ///
    /// A write compares the root's revision, so only one write can follow each version.
    pub fn outcome(&self, base: u64, nonce: id::Nonce) -> Outcome {
        if self.version <= base {
            return Outcome::Open;
        }
        let back = usize::try_from(self.version - base).unwrap_or(usize::MAX);
        match self.nonces.len().checked_sub(back).map(|index| self.nonces[index]) {
            Some(mark) if mark == nonce => Outcome::Applied,
            Some(_) => Outcome::Lost,
            None => Outcome::Forgotten,
        }
    }

    /// Returns whether the tail alone leads from `version` to the root's.
    pub const fn reaches_back(&self, version: u64) -> bool {
        self.folded <= version && version <= self.version
    }

    /// Returns the root's snapshot, from one that the tail reaches back to.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if the tail does not fit the snapshot.
    pub fn catch_up(&self, snapshot: &Snapshot) -> Result<Snapshot, error::Error> {
        let missing = self.tail.iter().filter(|change| change.version > snapshot.version());
        replay(snapshot, missing)
    }

    /// Returns the root's snapshot, from the values of its chunks in order.
    ///
    /// # Errors
    ///
    /// Fails with `Protocol` if a value is not a chunk or the tail does not fit.
    pub fn rebuild(&self, values: &[String]) -> Result<Snapshot, error::Error> {
        let mut resources = Vec::new();
        for value in values {
            resources.extend(storage::Chunk::resources(value)?);
        }
        self.catch_up(&Snapshot::of(self.folded, resources))
    }
}

fn broken(message: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Protocol, format!("not a configuration root: {message}"))
        .about(&storage::ROOT_KEY)
        .remedy("restore the key from a backup, or run daemons of one version")
}
