//! A page of resources of one kind.

use trefoildyke_types::resource;

/// A page of resources of one kind, sorted by name.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourcePage {
    /// The root version that the page shows.
    pub version: u64,
    /// The resources, with their status.
    pub resources: Vec<resource::Resource>,
    /// Whether more resources follow; to get them, list after the last name of this page.
    pub more: bool,
}
