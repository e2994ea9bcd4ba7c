//! Changes as operators ask for them.

use trefoildyke_types::resource;

/// Asks for a resource to be deleted.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deletion {
    /// The resource.
    pub key: resource::ResourceKey,
    /// The version that is deleted; `None` deletes whichever stands.
    #[serde(default)]
    pub resource_version: Option<u64>,
}

/// Holds resources to put and to delete, all in one version.
///
/// Invariant of an accepted change set: no resource occurs in it twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeSet {
    /// Resources to create (`resource_version` 0) or to replace (the version that stands).
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

    /// Returns whether the set asks for nothing.
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.deletions.is_empty()
    }
}
