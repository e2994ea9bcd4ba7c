//! Changes that operators request.

use trefoildyke_types::resource;

/// The deletion of a resource.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deletion {
    /// The key of the resource.
    pub key: resource::ResourceKey,
    /// The expected version of the resource; `None` deletes any version.
    #[serde(default)]
    pub resource_version: Option<u64>,
}

/// A set of resources to put and to delete in one version of the configuration.
///
/// Invariant of an accepted change set: each resource occurs in it only once.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Resources to create (`resource_version` is 0) or to replace (`resource_version` is the current one).
    #[serde(default)]
    pub puts: Vec<resource::Resource>,
    /// Resources to delete.
    #[serde(default)]
    pub deletions: Vec<Deletion>,
}

impl ChangeSet {
    /// Creates a change set that puts one resource.
    pub fn put(resource: resource::Resource) -> Self {
        Self { puts: vec![resource], deletions: Vec::new() }
    }

    /// Creates a change set that deletes one resource.
    pub fn delete(deletion: Deletion) -> Self {
        Self { puts: Vec::new(), deletions: vec![deletion] }
    }

    /// Returns whether the set contains neither puts nor deletions.
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.deletions.is_empty()
    }
}
