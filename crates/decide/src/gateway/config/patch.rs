//! Differences between two versions of a configuration.

use std::{collections, ops};

use crate::gateway;

/// The difference between two versions of a configuration: what a daemon that has the base version needs to
/// build the newer one.
///
/// Its size depends on what has changed, not on the size of the configuration.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigPatch {
    /// The version to which the patch applies; `None` if it contains the whole configuration.
    pub base: Option<u64>,
    /// The version that results.
    pub version: u64,
    routes: Vec<Segment<gateway::Route>>,
    services: Vec<Segment<gateway::Service>>,
    accounts: Vec<Segment<gateway::Account>>,
    limits: gateway::Limits,
    /// Builds without this field take an empty list of accounts for a missing one. Patches between them and this
    /// build cannot be decoded, so the daemons read the store instead.
    keyless: bool,
    unreadable: usize,
    /// The hash of the resulting configuration.
    hash: u64,
}

/// The reason why a patch does not apply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatchError {
    /// The patch applies to another version.
    #[error("it applies to another version; request the whole configuration")]
    WrongBase,
    /// The result differs from the sender's configuration.
    #[error("the result has another hash; request the whole configuration")]
    WrongResult,
}

/// A run of items of the newer version.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
enum Segment<T> {
    /// Items of the base version, by their indices.
    Keep(ops::Range<u32>),
    /// Items that the base version does not contain.
    Insert(Vec<T>),
}

impl ConfigPatch {
    /// Returns the patch that leads from `base` to `config`; without a base, one that contains all of
    /// `config`.
    pub fn between(base: Option<&gateway::Config>, config: &gateway::Config) -> Self {
        let empty = gateway::Config::default();
        let old = base.unwrap_or(&empty);
        Self {
            base: base.map(|base| base.version),
            version: config.version,
            routes: segments(&old.routes, &config.routes, |route| &route.name),
            services: segments(&old.services, &config.services, |service| service.name.as_str()),
            accounts: segments(&old.accounts, &config.accounts, |account| account.name.as_str()),
            limits: config.limits.clone(),
            keyless: config.keyless,
            unreadable: config.unreadable,
            hash: config.content_hash(),
        }
    }

    /// Returns the newer version, built from the base version that this daemon has.
    ///
    /// # Errors
    ///
    /// Fails if the patch applies to another version than `base`, or if the result is not what the sender
    /// has.
    pub fn apply(self, base: Option<&gateway::Config>) -> Result<gateway::Config, PatchError> {
        let empty = gateway::Config::default();
        let old = match self.base {
            None => &empty,
            Some(version) => {
                base.filter(|base| base.version == version).ok_or(PatchError::WrongBase)?
            }
        };
        let config = gateway::Config {
            version: self.version,
            routes: join(&old.routes, self.routes).ok_or(PatchError::WrongResult)?,
            services: join(&old.services, self.services).ok_or(PatchError::WrongResult)?,
            accounts: join(&old.accounts, self.accounts).ok_or(PatchError::WrongResult)?,
            limits: self.limits,
            keyless: self.keyless,
            unreadable: self.unreadable,
        };
        if config.content_hash() == self.hash { Ok(config) } else { Err(PatchError::WrongResult) }
    }
}

impl gateway::Config {
    /// Returns a hash of the whole configuration, the same at all daemons that have the same one.
    pub fn content_hash(&self) -> u64 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        // Neither the serialisation of plain data nor the hash can fail.
        let _ = serde_json::to_writer(&mut hash, self);
        hash.digest()
    }
}

/// Returns `new` as runs of items that `old` contains and of others.
fn segments<T: Clone + PartialEq>(
    old: &[T],
    new: &[T],
    name: impl Fn(&T) -> &str,
) -> Vec<Segment<T>> {
    let indices: collections::HashMap<&str, usize> =
        old.iter().enumerate().map(|(index, item)| (name(item), index)).collect();
    let mut segments = Vec::new();
    for item in new {
        let index = indices.get(name(item)).copied().filter(|index| old[*index] == *item);
        match (segments.last_mut(), index.map(|index| index as u32)) {
            (Some(Segment::Keep(range)), Some(index)) if range.end == index => range.end += 1,
            (_, Some(index)) => segments.push(Segment::Keep(index..index + 1)),
            (Some(Segment::Insert(items)), None) => items.push(item.clone()),
            (_, None) => segments.push(Segment::Insert(vec![item.clone()])),
        }
    }
    segments
}

/// Returns the items of the segments, or `None` if one refers to items that `old` does not contain.
fn join<T: Clone>(old: &[T], segments: Vec<Segment<T>>) -> Option<Vec<T>> {
    let mut items = Vec::new();
    for segment in segments {
        match segment {
            Segment::Keep(range) => {
                items.extend_from_slice(old.get(range.start as usize..range.end as usize)?);
            }
            Segment::Insert(inserted) => items.extend(inserted),
        }
    }
    Some(items)
}
